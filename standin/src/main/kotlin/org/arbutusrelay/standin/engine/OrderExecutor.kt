package org.arbutusrelay.standin.engine

import org.arbutusrelay.schema.api.EngineOrder
import org.arbutusrelay.schema.api.EngineOrderReply

/** Executes each order once and, if configured, rejects orders with an outdated fencing token. */
internal class OrderExecutor(private val isFencingChecked: Boolean) {
    private val executedOrderIds = mutableSetOf<String>()
    private val loaded = mutableSetOf<String>()
    private var highestToken = 0L

    @Synchronized
    fun loaded(): List<String> = loaded.toList()

    @Synchronized
    fun execute(order: EngineOrder): EngineOrderReply {
        if (isFencingChecked && order.fencingToken < highestToken) {
            return EngineOrderReply(EngineOrderReply.Decision.REFUSED, highestToken)
        }
        highestToken = maxOf(highestToken, order.fencingToken)
        if (executedOrderIds.add(order.orderId)) apply(order)
        return EngineOrderReply(EngineOrderReply.Decision.DONE, highestToken)
    }

    private fun apply(order: EngineOrder) {
        when (order.action) {
            EngineOrder.Action.LOAD -> loaded += order.target
            EngineOrder.Action.UNLOAD -> loaded -= order.target
            EngineOrder.Action.CHANGE_ROLE -> Unit
        }
    }
}
