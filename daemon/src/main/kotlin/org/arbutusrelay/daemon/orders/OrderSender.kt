package org.arbutusrelay.daemon.orders

import org.arbutusrelay.core.orders.DueOrder
import org.arbutusrelay.core.orders.OrderResult

/** Sends orders to engines. */
public fun interface OrderSender {
    /** Sends [order] and returns its result within [DueOrder.timeoutMs]. */
    public suspend fun send(order: DueOrder): OrderResult
}
