package org.arbutusrelay.daemon.request

import arrow.core.getOrElse
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.routing.AttemptResult
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.backend.AttemptEnd
import org.arbutusrelay.daemon.backend.CallerGoneException
import org.arbutusrelay.daemon.backend.ResponseHead
import org.arbutusrelay.daemon.backend.ResponseListener
import org.arbutusrelay.daemon.ledger.LedgerClient
import org.arbutusrelay.daemon.observe.RelayMetrics
import org.arbutusrelay.daemon.observe.Stage
import org.arbutusrelay.schema.message.LedgerFinish
import org.arbutusrelay.schema.message.LedgerGrant
import org.arbutusrelay.schema.message.LedgerKey
import org.arbutusrelay.schema.message.LedgerRelease
import org.arbutusrelay.schema.message.LedgerReply
import org.arbutusrelay.schema.message.LedgerReply.Decision
import org.arbutusrelay.schema.message.StoredResponse

/**
 * Runs a non-idempotent request only under a grant of the ledger, and repeats stored responses.
 *
 * The grant is requested before the request is placed, so that a resend gets its stored response even when the system
 * takes no new work. The response is delivered after `finish` has been committed or has timed out.
 */
public class LedgerGate(
    private val ledger: LedgerClient,
    private val clock: RelayClock,
    private val metrics: RelayMetrics,
) {
    /** Runs [request] through [attempt] when its key is granted, and passes the response to [sink]. */
    public suspend fun run(
        request: ResolvedRequest,
        key: LedgerKey,
        sink: ResponseListener,
        attempt: suspend (ResponseListener) -> AttemptEnd,
    ): AttemptEnd {
        repeat(MAX_GRANTS) {
            val startMs = clock.nowMs()
            val grant = LedgerGrant(
                key,
                request.id.toAttempt(),
                request.profile.digest,
                request.remainingMs(),
                service = request.service.service.name,
            )
            val reply = ledger.grant(request.home, grant)
            metrics.recordStage(Stage.GRANT, clock.nowMs() - startMs)
            val decided = reply.fold({ return notRun(it) }, { it })
            if (decided.decision == Decision.GRANTED) return runGranted(request, key, sink, attempt)
            val ended = if (decided.decision == Decision.IN_PROGRESS) awaitEnd(request, key) else decided
            if (ended.decision != Decision.RELEASED && ended.decision != Decision.ABSENT) return answer(ended, sink)
        }
        return failed(ErrorKind.IN_PROGRESS)
    }

    private suspend fun awaitEnd(request: ResolvedRequest, key: LedgerKey): LedgerReply =
        ledger.awaitEnd(request.home, key, request.remainingMs())
            .getOrElse { LedgerReply(0, Decision.IN_PROGRESS) }

    private suspend fun runGranted(
        request: ResolvedRequest,
        key: LedgerKey,
        sink: ResponseListener,
        attempt: suspend (ResponseListener) -> AttemptEnd,
    ): AttemptEnd {
        request.markGranted()
        val buffer = ResponseBuffer()
        var end: AttemptEnd? = null
        try {
            end = attempt(buffer)
        } finally {
            val failed = end as? AttemptEnd.Failed
            when {
                end is AttemptEnd.Complete -> Unit

                failed != null && !failed.mayHaveRun ->
                    ledger.release(request.home, LedgerRelease(key, request.id.toAttempt()))

                else -> ledger.settle(request.home, key, request.id.toAttempt())
            }
        }
        return if (end is AttemptEnd.Complete) finish(request, key, buffer, sink) else end
    }

    private suspend fun finish(
        request: ResolvedRequest,
        key: LedgerKey,
        buffer: ResponseBuffer,
        sink: ResponseListener,
    ): AttemptEnd {
        val finish = LedgerFinish(key, request.id.toAttempt(), buffer.toStored())
        ledger.finish(request.home, finish, request.remainingMs().coerceIn(MIN_FINISH_MS, MAX_FINISH_MS))
        return if (buffer.isOverflown) notStored() else deliver(buffer.head, buffer.body(), sink)
    }

    private fun answer(reply: LedgerReply, sink: ResponseListener): AttemptEnd = when (reply.decision) {
        Decision.FINISHED -> replay(reply.response, sink)
        Decision.IN_PROGRESS -> failed(ErrorKind.IN_PROGRESS)
        Decision.UNKNOWN, Decision.SETTLED -> failed(ErrorKind.OUTCOME_UNKNOWN)
        Decision.BODY_MISMATCH -> failed(ErrorKind.IDEMPOTENCY_KEY_REUSED)
        Decision.FENCED -> failed(ErrorKind.HOME_MOVING)
        else -> failed(ErrorKind.LEDGER_UNAVAILABLE)
    }

    private fun replay(stored: StoredResponse?, sink: ResponseListener): AttemptEnd =
        if (stored == null || !stored.isBodyStored) {
            notStored()
        } else {
            deliver(ResponseHead(stored.statusCode.toInt(), stored.contentType), stored.body, sink)
        }

    private fun deliver(head: ResponseHead, body: ByteArray, sink: ResponseListener): AttemptEnd = try {
        sink.onHead(head)
        sink.onData(body)
        AttemptEnd.Complete(head.statusCode)
    } catch (_: CallerGoneException) {
        AttemptEnd.Cancelled(isCallerGone = true, mayHaveRun = true)
    }

    private fun notStored(): AttemptEnd = failed(ErrorKind.ANSWER_NOT_STORED)

    private fun notRun(error: RelayError) = AttemptEnd.Failed(error, AttemptResult.REFUSED, mayHaveRun = false)

    private fun failed(kind: ErrorKind): AttemptEnd =
        AttemptEnd.Failed(RelayError(kind), AttemptResult.REFUSED, mayHaveRun = false)

    private fun ResolvedRequest.remainingMs(): Long = (deadlineMs - clock.nowMs()).coerceAtLeast(0)

    private val ResolvedRequest.home: String get() = incoming.caller.homeRegion

    private companion object {
        private const val MAX_GRANTS = 3
        private const val MIN_FINISH_MS = 200L
        private const val MAX_FINISH_MS = 2_000L
    }
}
