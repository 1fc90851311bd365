package org.arbutusrelay.daemon.request

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
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
 * Runs non-idempotent requests only under a ledger grant and replays stored responses.
 *
 * The grant is requested before the request is placed, so that a resend receives its stored response even if the system
 * accepts no new work. The response is delivered after `finish` was committed or timed out. A run that exceeds its
 * deadline continues, and its response is stored for a resend.
 */
public class AtMostOnceExecutor(
    private val ledger: LedgerClient,
    private val clock: RelayClock,
    private val metrics: RelayMetrics,
    private val detachedRuns: DetachedRuns,
) {
    /** Runs [attempt] if the ledger grants [key], or replays the stored response; writes the response to [sink]. */
    public suspend fun run(
        request: ResolvedRequest,
        key: LedgerKey,
        sink: ResponseListener,
        attempt: suspend (ResponseListener) -> AttemptEnd,
    ): AttemptEnd {
        val reply = awaitDecision(request, key).getOrElse { return notRun(it) }
        return if (reply.decision == Decision.GRANTED) {
            runGranted(request, key, sink, attempt)
        } else {
            respond(reply, sink)
        }
    }

    /**
     * Returns the decision of the ledger; waits while another attempt with the same key is in progress.
     *
     * The decision is `in_progress` only if the other attempt does not end within the wait.
     *
     * When the other attempt ends, the grant is requested again: the key may by then belong to another request body,
     * and only a grant request compares the digests.
     */
    private suspend fun awaitDecision(request: ResolvedRequest, key: LedgerKey): Either<RelayError, LedgerReply> {
        var hasOtherAttempt = false
        var isGranted = false
        try {
            repeat(MAX_GRANT_REQUESTS) {
                val reply = grant(request, key)
                    .getOrElse { return if (hasOtherAttempt) errorAfterOtherAttempt(it) else it.left() }
                isGranted = reply.decision == Decision.GRANTED
                if (reply.decision != Decision.IN_PROGRESS) return reply.right()
                hasOtherAttempt = true
                if (!awaitEnd(request, key)) return reply.right()
            }
            return LedgerReply(0, Decision.IN_PROGRESS).right()
        } finally {
            // A retransmitted grant request may arrive after the other attempt was released and would then be granted.
            if (hasOtherAttempt && !isGranted) {
                ledger.release(request.homeRegion, LedgerRelease(key, request.id.toAttempt()))
            }
        }
    }

    /** Reports only a reused key as not run, because the other attempt with this key may have run. */
    private fun errorAfterOtherAttempt(error: RelayError): Either<RelayError, LedgerReply> =
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
        return ledger.grant(request.homeRegion, grant)
            .also { metrics.recordStage(Stage.GRANT, clock.nowMs() - startMs) }
    }

    private suspend fun awaitEnd(request: ResolvedRequest, key: LedgerKey): Boolean =
        ledger.awaitEnd(request.homeRegion, key, request.remainingMs())
            .fold({ false }, { it.decision != Decision.IN_PROGRESS })

    private suspend fun runGranted(
        request: ResolvedRequest,
        key: LedgerKey,
        sink: ResponseListener,
        attempt: suspend (ResponseListener) -> AttemptEnd,
    ): AttemptEnd {
        request.markGranted()
        val buffer = ResponseBuffer()
        val waitMs = request.remainingMs() + MIN_FINISH_TIMEOUT_MS
        val end = detachedRuns.await(waitMs) { runAndRecord(request, key, buffer, attempt) }
        return when {
            end == null -> deadlineExceeded()
            end !is AttemptEnd.Complete -> end
            buffer.isOverflowed -> notStored()
            else -> deliver(buffer.head, buffer.body(), sink)
        }
    }

    /** Runs the request and reports its end to the ledger, possibly after the caller has stopped waiting. */
    private suspend fun runAndRecord(
        request: ResolvedRequest,
        key: LedgerKey,
        buffer: ResponseBuffer,
        attempt: suspend (ResponseListener) -> AttemptEnd,
    ): AttemptEnd {
        var end: AttemptEnd? = null
        var mayHaveRun = false
        try {
            // A run that was cancelled while it waited for a thread must not be sent to a backend server any more.
            currentCoroutineContext().ensureActive()
            mayHaveRun = true
            end = attempt(buffer)
            mayHaveRun = (end as? AttemptEnd.Failed)?.mayHaveRun ?: true
        } finally {
            when {
                end is AttemptEnd.Complete -> Unit

                !mayHaveRun ->
                    ledger.release(request.homeRegion, LedgerRelease(key, request.id.toAttempt()))

                else -> ledger.settle(request.homeRegion, key, request.id.toAttempt())
            }
        }
        if (end is AttemptEnd.Complete) {
            val finish = LedgerFinish(key, request.id.toAttempt(), buffer.toStored())
            ledger.finish(
                request.homeRegion,
                finish,
                request.remainingMs().coerceIn(MIN_FINISH_TIMEOUT_MS, MAX_FINISH_TIMEOUT_MS),
            )
        }
        return end
    }

    private fun deadlineExceeded(): AttemptEnd =
        AttemptEnd.Failed(RelayError(ErrorKind.DEADLINE_EXCEEDED), AttemptResult.TIMED_OUT, mayHaveRun = true)

    private fun respond(reply: LedgerReply, sink: ResponseListener): AttemptEnd = when (reply.decision) {
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

    private val ResolvedRequest.homeRegion: String get() = incoming.caller.homeRegion

    private companion object {
        private const val MAX_GRANT_REQUESTS = 3
        private const val MIN_FINISH_TIMEOUT_MS = 200L
        private const val MAX_FINISH_TIMEOUT_MS = 2_000L
    }
}
