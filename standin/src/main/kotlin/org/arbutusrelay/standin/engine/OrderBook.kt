package org.arbutusrelay.standin.engine

import org.arbutusrelay.schema.api.EngineOrder
import org.arbutusrelay.schema.api.EngineOrderReply

/** Carries out orders once each and, when asked to, refuses those with an old fencing token. */
internal class OrderBook(private val isFencingChecked: Boolean) {
    private val done = mutableSetOf<String>()
    private val held = mutableSetOf<String>()
    private var highestToken = 0L

    @Synchronized
    fun held(): List<String> = held.toList()

    @Synchronized
    fun take(order: EngineOrder): EngineOrderReply {
        if (isFencingChecked && order.fencingToken < highestToken) {
            return EngineOrderReply(EngineOrderReply.Decision.REFUSED, highestToken)
        }
        highestToken = maxOf(highestToken, order.fencingToken)
        if (done.add(order.orderId)) carryOut(order)
        return EngineOrderReply(EngineOrderReply.Decision.DONE, highestToken)
    }

    private fun carryOut(order: EngineOrder) {
        when (order.action) {
            EngineOrder.Action.LOAD -> held += order.target
            EngineOrder.Action.UNLOAD -> held -= order.target
            EngineOrder.Action.CHANGE_ROLE -> Unit
        }
    }
}
