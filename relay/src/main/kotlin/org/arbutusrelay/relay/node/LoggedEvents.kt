package org.arbutusrelay.relay.node

import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.relay.AttemptFailure
import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.daemon.observe.EventSink
import org.arbutusrelay.relay.exchange.Exchange
import org.arbutusrelay.relay.exchange.RelayEvents
import org.arbutusrelay.schema.log.EventLine
import org.arbutusrelay.schema.log.EventLine.Event

/** Writes a line for each decision on a request. */
internal class LoggedEvents(private val log: EventSink, private val nowMs: () -> Long) : RelayEvents {
    override fun queued(exchange: Exchange, waiting: Int): Unit =
        log.write(line(Event.REQUEST_QUEUED, exchange).copy(waiting = waiting.toLong()))

    override fun placed(exchange: Exchange, attempt: PlacedAttempt, address: String, lastEventId: Long?) {
        val event = if (exchange.attemptCount > 1) Event.REQUEST_RESENT else Event.REQUEST_PLACED
        val basis = attempt.basis
        log.write(
            line(event, exchange).copy(
                backendServer = attempt.backendServer,
                incarnation = attempt.incarnation,
                region = attempt.region,
                address = address,
                load = basis?.load,
                limit = basis?.limit,
                predictedMs = basis?.predictedMs,
                coldMs = basis?.coldMs,
                version = basis?.version,
                tableAgeMs = basis?.tableAgeMs,
                lastEventId = lastEventId,
            ),
        )
    }

    override fun failed(exchange: Exchange, error: RelayError): Unit = log.write(
        line(Event.REQUEST_FAILED, exchange).copy(
            kind = error.kind.id,
            outcome = error.kind.outcome.id,
            detail = error.detail,
            retryAfterMs = error.retryAfterMs,
        ),
    )

    override fun attemptFailed(
        exchange: Exchange,
        attempt: PlacedAttempt,
        failure: AttemptFailure,
        detail: String,
        isRetried: Boolean,
    ): Unit = log.write(
        line(Event.ATTEMPT_FAILED, exchange).copy(
            backendServer = attempt.backendServer,
            incarnation = attempt.incarnation,
            region = attempt.region,
            failure = failure.id,
            detail = detail,
            attemptAgeMs = nowMs() - attempt.placedAtMs,
            isRetried = isRetried,
        ),
    )

    override fun answered(exchange: Exchange, statusCode: Int): Unit =
        log.write(line(Event.REQUEST_ANSWERED, exchange).copy(statusCode = statusCode.toLong()))

    override fun callerLeft(exchange: Exchange): Unit = log.write(line(Event.CALLER_LEFT, exchange))

    private fun line(event: Event, exchange: Exchange) = EventLine(
        event,
        request = exchange.attemptId,
        route = exchange.route?.name,
        service = exchange.serviceName,
        ageMs = exchange.ageMs,
        remainingMs = exchange.remainingMs,
        attempts = exchange.attemptCount.toLong(),
        isForwarded = exchange.isForwarded,
        documentNumber = exchange.documentNumber,
    )
}
