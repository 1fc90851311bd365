package org.arbutusrelay.relay.node

import org.apache.logging.log4j.LogManager
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.relay.AttemptFailure
import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.relay.exchange.Exchange
import org.arbutusrelay.relay.exchange.RelayEvents

/** Writes a line for each request that failed or was sent again. */
internal class LoggedEvents : RelayEvents {
    override fun failed(exchange: Exchange, error: RelayError) {
        logger.info(
            "failed: request={} route={} kind={} detail=\"{}\" ageMs={} attempts={} isForwarded={}",
            exchange.attemptId,
            exchange.route?.name,
            error.kind.id,
            error.detail,
            exchange.ageMs,
            exchange.attemptCount,
            exchange.isForwarded,
        )
    }

    override fun attemptFailed(
        exchange: Exchange,
        attempt: PlacedAttempt,
        failure: AttemptFailure,
        detail: String,
        isRetried: Boolean,
    ) {
        logger.info(
            "attempt failed: request={} route={} backendServer={} region={} failure={} detail=\"{}\" ageMs={} isRetried={}",
            exchange.attemptId,
            exchange.route?.name,
            attempt.backendServer,
            attempt.region,
            failure,
            detail,
            exchange.ageMs,
            isRetried,
        )
    }

    override fun answered(exchange: Exchange, statusCode: Int) = Unit

    override fun callerLeft(exchange: Exchange) = Unit

    private companion object {
        private val logger = LogManager.getLogger(LoggedEvents::class.java)
    }
}
