package org.arbutusrelay.relay.node

import org.arbutusrelay.core.error.Outcome
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.relay.ResponseDefect
import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.daemon.observe.RelayMetrics
import org.arbutusrelay.daemon.observe.Stage
import org.arbutusrelay.relay.exchange.Exchange
import org.arbutusrelay.relay.exchange.FailedAttempt
import org.arbutusrelay.relay.exchange.RequestEventListener

/** Records metrics for request events and passes each event to [delegate]. */
internal class RequestMetricsListener(private val metrics: RelayMetrics, private val delegate: RequestEventListener) :
    RequestEventListener {
    override fun queued(exchange: Exchange, waiting: Int) = delegate.queued(exchange, waiting)

    override fun placed(exchange: Exchange, attempt: PlacedAttempt, address: String, lastEventId: Long?) {
        if (attempt.backendServer.isEmpty()) metrics.countForward()
        delegate.placed(exchange, attempt, address, lastEventId)
    }

    override fun failed(exchange: Exchange, error: RelayError) {
        metrics.countError(error.kind)
        metrics.countOutcome(error.kind.outcome)
        delegate.failed(exchange, error)
    }

    override fun attemptFailed(exchange: Exchange, failed: FailedAttempt) {
        if (failed.isRetried) metrics.countRetry()
        delegate.attemptFailed(exchange, failed)
    }

    override fun responseDefect(exchange: Exchange, defect: ResponseDefect) {
        metrics.countResponseDefect(defect)
        delegate.responseDefect(exchange, defect)
    }

    override fun completed(exchange: Exchange, statusCode: Int) {
        metrics.countOutcome(Outcome.RAN)
        metrics.recordStage(Stage.TOTAL, exchange.ageMs)
        exchange.route?.let { metrics.recordResponse(it.kind, exchange.ageMs) }
        delegate.completed(exchange, statusCode)
    }

    override fun callerDisconnected(exchange: Exchange) {
        metrics.countOutcome(Outcome.UNKNOWN)
        delegate.callerDisconnected(exchange)
    }
}
