package org.arbutusrelay.relay.node

import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.relay.ResponseDefect
import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.daemon.observe.EventSink
import org.arbutusrelay.relay.exchange.Exchange
import org.arbutusrelay.relay.exchange.FailedAttempt
import org.arbutusrelay.relay.exchange.RequestEventListener
import org.arbutusrelay.schema.log.EventLine
import org.arbutusrelay.schema.log.EventLine.Event

/** Writes a log line for each request event. */
internal class RequestLogListener(private val log: EventSink, private val nowMs: () -> Long) : RequestEventListener {
    override fun queued(exchange: Exchange, waiting: Int): Unit =
        log.write(eventLine(Event.REQUEST_QUEUED, exchange).copy(waiting = waiting.toLong()))

    override fun placed(exchange: Exchange, attempt: PlacedAttempt, address: String, lastEventId: Long?) {
        val event = if (exchange.attemptCount > 1) Event.REQUEST_RESENT else Event.REQUEST_PLACED
        val basis = attempt.basis
        log.write(
            eventLine(event, exchange).copy(
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
                softwareVersion = attempt.softwareVersion,
            ),
        )
    }

    override fun failed(exchange: Exchange, error: RelayError): Unit = log.write(
        eventLine(Event.REQUEST_FAILED, exchange).copy(
            kind = error.kind.id,
            outcome = error.kind.outcome.id,
            detail = error.detail,
            retryAfterMs = error.retryAfterMs,
        ),
    )

    override fun attemptFailed(exchange: Exchange, failed: FailedAttempt): Unit = log.write(
        eventLine(Event.ATTEMPT_FAILED, exchange).copy(
            backendServer = failed.placed.backendServer,
            incarnation = failed.placed.incarnation,
            region = failed.placed.region,
            failure = failed.failure.id,
            detail = failed.detail,
            attemptAgeMs = nowMs() - failed.placed.placedAtMs,
            isRetried = failed.isRetried,
            incompleteEventBytes = failed.incompleteEventBytes?.toLong(),
            lastEventId = failed.lastEventId,
        ),
    )

    /** Writes nothing: the metrics count each defect, and a defect that ends an attempt is named in its line. */
    override fun responseDefect(exchange: Exchange, defect: ResponseDefect): Unit = Unit

    override fun completed(exchange: Exchange, statusCode: Int): Unit =
        log.write(eventLine(Event.REQUEST_ANSWERED, exchange).copy(statusCode = statusCode.toLong()))

    override fun callerDisconnected(exchange: Exchange): Unit = log.write(eventLine(Event.CALLER_LEFT, exchange))

    private fun eventLine(event: Event, exchange: Exchange) = EventLine(
        event,
        request = exchange.attemptId,
        route = exchange.route?.name,
        service = exchange.serviceName,
        ageMs = exchange.ageMs,
        remainingMs = exchange.remainingMs,
        attempts = exchange.attemptCount.toLong(),
        isForwarded = exchange.isForwarded,
        documentNumber = exchange.documentNumber,
        tenant = exchange.tenantName,
    )
}
