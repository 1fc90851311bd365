package org.arbutusrelay.daemon.orders

import org.arbutusrelay.core.orders.DueOrder
import org.arbutusrelay.core.orders.OrderResult

/** Sends orders to engines. */
public fun interface OrderSender {
    /** Sends [order] and returns how it ended, at the latest after its [DueOrder.timeoutMs]. */
    public suspend fun send(order: DueOrder): OrderResult
}
