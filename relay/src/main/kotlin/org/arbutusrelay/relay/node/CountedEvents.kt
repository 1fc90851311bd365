package org.arbutusrelay.relay.node

import org.arbutusrelay.core.error.Outcome
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.relay.AttemptFailure
import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.daemon.observe.RelayMetrics
import org.arbutusrelay.daemon.observe.Stage
import org.arbutusrelay.relay.exchange.Exchange
import org.arbutusrelay.relay.exchange.RelayEvents

/** Counts what becomes of requests, and passes each event on to [next]. */
internal class CountedEvents(private val metrics: RelayMetrics, private val next: RelayEvents) : RelayEvents {
    override fun queued(exchange: Exchange, waiting: Int) = next.queued(exchange, waiting)

    override fun placed(exchange: Exchange, attempt: PlacedAttempt, address: String, lastEventId: Long?) {
        if (attempt.backendServer.isEmpty()) metrics.countForward()
        next.placed(exchange, attempt, address, lastEventId)
    }

    override fun failed(exchange: Exchange, error: RelayError) {
        metrics.countError(error.kind)
        metrics.countOutcome(error.kind.outcome)
        next.failed(exchange, error)
    }

    override fun attemptFailed(
        exchange: Exchange,
        attempt: PlacedAttempt,
        failure: AttemptFailure,
        detail: String,
        isRetried: Boolean,
    ) {
        if (isRetried) metrics.countRetry()
        next.attemptFailed(exchange, attempt, failure, detail, isRetried)
    }

    override fun answered(exchange: Exchange, statusCode: Int) {
        metrics.countOutcome(Outcome.RAN)
        metrics.recordStage(Stage.TOTAL, exchange.ageMs)
        exchange.route?.let { metrics.recordResponse(it.kind, exchange.ageMs) }
        next.answered(exchange, statusCode)
    }

    override fun callerLeft(exchange: Exchange) {
        metrics.countOutcome(Outcome.UNKNOWN)
        next.callerLeft(exchange)
    }
}
