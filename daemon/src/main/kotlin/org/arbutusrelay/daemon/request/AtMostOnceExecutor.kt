package org.arbutusrelay.daemon.request

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.routing.AttemptResult
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.backend.AttemptEnd
import org.arbutusrelay.daemon.backend.CallerDisconnectedException
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
 * takes no new work. The response is delivered after `finish` has been committed or has timed out. A run that outlasts
 * the wait goes on, and its response is stored for a resend.
 */
public class AtMostOnceExecutor(
    private val ledger: LedgerClient,
    private val clock: RelayClock,
    private val metrics: RelayMetrics,
    private val lateRuns: DetachedRuns,
) {
    /** Runs [request] through [attempt] when its key is granted, and passes the response to [sink]. */
    public suspend fun run(
        request: ResolvedRequest,
        key: LedgerKey,
        sink: ResponseListener,
        attempt: suspend (ResponseListener) -> AttemptEnd,
    ): AttemptEnd {
        val decided = awaitDecision(request, key).getOrElse { return notRun(it) }
        return if (decided.decision == Decision.GRANTED) {
            runGranted(request, key, sink, attempt)
        } else {
            answer(decided, sink)
        }
    }

    /**
     * Returns the decision of the ledger; `in_progress` only when the other attempt outlasts the wait.
     *
     * The end of another attempt only leads to a new grant request: by then the key may belong to another body, and
     * only a grant request compares the digest.
     */
    private suspend fun awaitDecision(request: ResolvedRequest, key: LedgerKey): Either<RelayError, LedgerReply> {
        var isOtherKnown = false
        var isGranted = false
        try {
            repeat(MAX_GRANTS) {
                val reply = grant(request, key).getOrElse { return if (isOtherKnown) afterOther(it) else it.left() }
                isGranted = reply.decision == Decision.GRANTED
                if (reply.decision != Decision.IN_PROGRESS) return reply.right()
                isOtherKnown = true
                if (!awaitEnd(request, key)) return reply.right()
            }
            return LedgerReply(0, Decision.IN_PROGRESS).right()
        } finally {
            // A repeated grant request may still arrive after the other attempt was released, and would be granted.
            if (isOtherKnown && !isGranted) {
                ledger.release(request.home, LedgerRelease(key, request.id.toAttempt()))
            }
        }
    }

    /** The other attempt of the key may have run, so that only another body may still be reported as not run. */
    private fun afterOther(error: RelayError): Either<RelayError, LedgerReply> =
        if (error.kind == ErrorKind.IDEMPOTENCY_KEY_REUSED) {
            error.left()
        } else {
            LedgerReply(0, Decision.IN_PROGRESS).right()
        }

    private suspend fun grant(request: ResolvedRequest, key: LedgerKey): Either<RelayError, LedgerReply> {
        val startMs = clock.nowMs()
        val service = request.service.service.name
        val grant =
            LedgerGrant(key, request.id.toAttempt(), request.profile.digest, request.remainingMs(), service = service)
        return ledger.grant(request.home, grant).also { metrics.recordStage(Stage.GRANT, clock.nowMs() - startMs) }
    }

    private suspend fun awaitEnd(request: ResolvedRequest, key: LedgerKey): Boolean =
        ledger.awaitEnd(request.home, key, request.remainingMs())
            .fold({ false }, { it.decision != Decision.IN_PROGRESS })

    private suspend fun runGranted(
        request: ResolvedRequest,
        key: LedgerKey,
        sink: ResponseListener,
        attempt: suspend (ResponseListener) -> AttemptEnd,
    ): AttemptEnd {
        request.markGranted()
        val buffer = ResponseBuffer()
        val waitMs = request.remainingMs() + MIN_FINISH_MS
        val end = lateRuns.await(waitMs) { runAndRecord(request, key, buffer, attempt) }
        return when {
            end == null -> outlasted()
            end !is AttemptEnd.Complete -> end
            buffer.isOverflown -> notStored()
            else -> deliver(buffer.head, buffer.body(), sink)
        }
    }

    /** Runs the request and tells the ledger how it ended, which may be after the caller was answered. */
    private suspend fun runAndRecord(
        request: ResolvedRequest,
        key: LedgerKey,
        buffer: ResponseBuffer,
        attempt: suspend (ResponseListener) -> AttemptEnd,
    ): AttemptEnd {
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
        if (end is AttemptEnd.Complete) {
            val finish = LedgerFinish(key, request.id.toAttempt(), buffer.toStored())
            ledger.finish(request.home, finish, request.remainingMs().coerceIn(MIN_FINISH_MS, MAX_FINISH_MS))
        }
        return end
    }

    private fun outlasted(): AttemptEnd =
        AttemptEnd.Failed(RelayError(ErrorKind.DEADLINE_EXCEEDED), AttemptResult.TIMED_OUT, mayHaveRun = true)

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
    } catch (_: CallerDisconnectedException) {
        AttemptEnd.Cancelled(isCallerDisconnected = true, mayHaveRun = true)
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
