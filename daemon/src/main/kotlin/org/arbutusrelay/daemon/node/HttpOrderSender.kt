package org.arbutusrelay.daemon.node

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import org.arbutusrelay.core.error.Outcome
import org.arbutusrelay.core.orders.DueOrder
import org.arbutusrelay.core.orders.OrderResult
import org.arbutusrelay.daemon.backend.BackendClient
import org.arbutusrelay.daemon.orders.OrderSender
import org.arbutusrelay.schema.api.EngineOrderReply

/** Sends orders to engines over HTTP. */
internal class HttpOrderSender(private val client: BackendClient) : OrderSender {
    override suspend fun send(order: DueOrder): OrderResult = withContext(Dispatchers.IO) {
        client.sendOrder(order.address, order.order, order.timeoutMs).fold(
            { error -> if (error.kind.outcome == Outcome.NOT_RUN) OrderResult.REFUSED else OrderResult.UNKNOWN },
            { reply -> result(order, reply) },
        )
    }

    private fun result(order: DueOrder, reply: EngineOrderReply): OrderResult = when {
        reply.decision == EngineOrderReply.Decision.DONE -> OrderResult.DONE
        reply.highestToken > order.order.fencingToken -> OrderResult.STALE_TOKEN
        else -> OrderResult.REFUSED
    }
}
