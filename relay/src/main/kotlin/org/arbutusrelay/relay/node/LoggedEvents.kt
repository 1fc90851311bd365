package org.arbutusrelay.relay.node

import org.apache.logging.log4j.LogManager
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.relay.AttemptFailure
import org.arbutusrelay.core.relay.LineBudget
import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.relay.exchange.Exchange
import org.arbutusrelay.relay.exchange.RelayEvents

/**
 * Writes a line for each request that failed, was sent again or was left by its caller.
 *
 * Each kind of line has its own budget, so that a flood of one kind does not hide another. Complete responses have no
 * line; metrics count them.
 */
internal class LoggedEvents(private val nowMs: () -> Long) : RelayEvents {
    private val errorBudgets = ErrorKind.entries.associateWith { LineBudget(MAX_LINES, WINDOW_MS) }
    private val attemptBudgets = AttemptFailure.entries.associateWith { LineBudget(MAX_LINES, WINDOW_MS) }
    private val leftBudget = LineBudget(MAX_LINES, WINDOW_MS)

    override fun failed(exchange: Exchange, error: RelayError) {
        val leftOut = errorBudgets.getValue(error.kind).tryTake(nowMs()) ?: return
        logger.info(
            "request failed: request={} route={} kind={} outcome={} detail=\"{}\" ageMs={} attempts={} " +
                "isForwarded={} documentNumber={} retryAfterMs={} leftOut={}",
            exchange.attemptId,
            exchange.route?.name,
            error.kind.id,
            error.kind.outcome.id,
            error.detail,
            exchange.ageMs,
            exchange.attemptCount,
            exchange.isForwarded,
            exchange.documentNumber,
            error.retryAfterMs,
            leftOut,
        )
    }

    override fun attemptFailed(
        exchange: Exchange,
        attempt: PlacedAttempt,
        failure: AttemptFailure,
        detail: String,
        isRetried: Boolean,
    ) {
        val leftOut = attemptBudgets.getValue(failure).tryTake(nowMs()) ?: return
        logger.info(
            "attempt failed: request={} route={} backendServer={} incarnation={} region={} failure={} detail=\"{}\" " +
                "ageMs={} attemptAgeMs={} isRetried={} leftOut={}",
            exchange.attemptId,
            exchange.route?.name,
            attempt.backendServer,
            attempt.incarnation,
            attempt.region,
            failure.name.lowercase(),
            detail,
            exchange.ageMs,
            nowMs() - attempt.placedAtMs,
            isRetried,
            leftOut,
        )
    }

    override fun answered(exchange: Exchange, statusCode: Int) = Unit

    override fun callerLeft(exchange: Exchange) {
        val leftOut = leftBudget.tryTake(nowMs()) ?: return
        logger.info(
            "caller left: request={} route={} ageMs={} attempts={} leftOut={}",
            exchange.attemptId,
            exchange.route?.name,
            exchange.ageMs,
            exchange.attemptCount,
            leftOut,
        )
    }

    private companion object {
        private val logger = LogManager.getLogger(LoggedEvents::class.java)

        /** Lines of one kind in a window; a line costs about as much processor time as forwarding a short request. */
        const val MAX_LINES = 10
        const val WINDOW_MS = 1_000L
    }
}
