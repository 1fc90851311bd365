package org.arbutusrelay.daemon.ledger

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.schema.message.Attempt
import org.arbutusrelay.schema.message.LedgerExport
import org.arbutusrelay.schema.message.LedgerFinish
import org.arbutusrelay.schema.message.LedgerGrant
import org.arbutusrelay.schema.message.LedgerKey
import org.arbutusrelay.schema.message.LedgerQuery
import org.arbutusrelay.schema.message.LedgerRelease
import org.arbutusrelay.schema.message.LedgerReply
import org.arbutusrelay.schema.message.LedgerReply.Decision
import org.arbutusrelay.schema.message.LedgerRequest
import org.arbutusrelay.schema.message.LedgerSettle
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.TimeSource

/**
 * Sends requests to the ledger leaders over links, or directly when this host is the leader.
 *
 * [stateHosts] returns the state hosts of a region. After a reply of `in_progress` the caller of [grant] may call it
 * again with the same attempt; when it gives up, it must call [release], because an earlier request may still arrive.
 */
public class LinkLedgerClient(
    private val network: LinkNetwork,
    stateHosts: (String) -> List<String>,
    local: LedgerService?,
    private val scope: CoroutineScope,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) : LedgerClient {
    private val requester = LedgerRequester(network, stateHosts, local, timeSource)
    private val retryQueues = ConcurrentHashMap<String, RetryQueue>()
    private val droppedCount = AtomicLong()

    /** Number of background commands dropped because their queue was full; their grants end as `unknown`. */
    public val droppedCommands: Long get() = droppedCount.get()

    /** Number of replies that matched no pending request: late, duplicate, or from another process. */
    public val unmatchedReplies: Long get() = requester.unmatchedReplies

    /** Starts to receive replies. */
    public fun start(): Unit = network.addReceiver(requester)

    override suspend fun grant(homeRegion: String, grant: LedgerGrant): Either<RelayError, LedgerReply> {
        var reply: LedgerReply? = null
        try {
            reply =
                requester.call(homeRegion, grant.deadlineMs) { correlation, remainingMs ->
                    LedgerRequest(correlation, groupOf(homeRegion), grant = grant.copy(deadlineMs = remainingMs))
                }
        } finally {
            // After a timeout or a cancellation the attempt may be granted, but it is never sent to a backend server.
            if (reply == null || errorOf(reply) != null) release(homeRegion, LedgerRelease(grant.key, grant.attempt))
        }
        val error = if (reply == null) RelayError(ErrorKind.LEDGER_UNAVAILABLE) else errorOf(reply)
        return error?.left() ?: checkNotNull(reply).right()
    }

    override suspend fun awaitEnd(
        homeRegion: String,
        key: LedgerKey,
        timeoutMs: Long,
    ): Either<RelayError, LedgerReply> {
        val start = timeSource.markNow()
        var delayMs = MIN_POLL_MS
        while (true) {
            val remainingMs = timeoutMs - start.elapsedNow().inWholeMilliseconds
            if (remainingMs <= 0) return RelayError(ErrorKind.IN_PROGRESS).left()
            val reply =
                requester.call(homeRegion, remainingMs) { correlation, _ ->
                    LedgerRequest(correlation, groupOf(homeRegion), query = LedgerQuery(key))
                }
            // The other attempt may have run, so a ledger that does not reply is not reported as `not_run`.
            if (reply == null) return RelayError(ErrorKind.IN_PROGRESS).left()
            if (reply.decision != Decision.IN_PROGRESS) return reply.right()
            delay(minOf(delayMs, remainingMs))
            delayMs = minOf(2 * delayMs, MAX_POLL_MS)
        }
    }

    override fun release(homeRegion: String, release: LedgerRelease) {
        enqueueRetry(homeRegion) { LedgerRequest(it, groupOf(homeRegion), release = release) }
    }

    override suspend fun finish(homeRegion: String, finish: LedgerFinish, timeoutMs: Long): Boolean {
        val request = { correlation: Long -> LedgerRequest(correlation, groupOf(homeRegion), finish = finish) }
        var reply: LedgerReply? = null
        try {
            reply = requester.call(homeRegion, timeoutMs) { correlation, _ -> request(correlation) }
        } finally {
            // The new home region of the caller may have a copy of the entry, which is updated in the background.
            if (reply == null || reply.movedTo != null) enqueueRetry(homeRegion, request)
        }
        return reply?.decision == Decision.FINISHED
    }

    override fun settle(homeRegion: String, key: LedgerKey, attempt: Attempt) {
        enqueueRetry(homeRegion) { LedgerRequest(it, groupOf(homeRegion), settle = LedgerSettle(key, attempt)) }
    }

    /** Requests a batch of entries from the former home region; returns null when it does not reply in time. */
    internal suspend fun export(region: String, export: LedgerExport, timeoutMs: Long): LedgerReply? =
        requester.call(region, timeoutMs) { correlation, _ ->
            LedgerRequest(correlation, groupOf(region), export = export)
        }

    /** Queries a former home region for the status of a key; returns null when it does not reply in time. */
    internal suspend fun queryFormerHome(region: String, query: LedgerQuery): Decision? =
        requester.call(region, FORMER_HOME_TIMEOUT_MS) { correlation, _ ->
            LedgerRequest(correlation, groupOf(region), query = query)
        }?.decision

    /** Sends a command to [region], and then to each region to which the entry may have moved. */
    private suspend fun deliver(region: String, request: (Long) -> LedgerRequest): Boolean {
        var target = region
        var afterMove: Long? = null
        repeat(MAX_MOVES) {
            val reply = requester.call(target, DELIVERY_TIMEOUT_MS) { correlation, _ ->
                request(correlation).copy(group = groupOf(target), afterMove = afterMove)
            } ?: return false
            target = reply.movedTo ?: return true
            afterMove = reply.movedBy
        }
        return false
    }

    private fun enqueueRetry(region: String, request: (Long) -> LedgerRequest) {
        val queue = retryQueues.computeIfAbsent(region) { RetryQueue(scope) }
        val isQueued =
            queue.add { deliver(region, request) }
        if (!isQueued) droppedCount.incrementAndGet()
    }

    private fun errorOf(reply: LedgerReply): RelayError? = when (reply.decision) {
        Decision.FENCED -> RelayError(ErrorKind.HOME_MOVING)
        Decision.BODY_MISMATCH -> RelayError(ErrorKind.IDEMPOTENCY_KEY_REUSED)
        Decision.GRANTED, Decision.IN_PROGRESS, Decision.FINISHED, Decision.UNKNOWN -> null
        else -> RelayError(ErrorKind.LEDGER_UNAVAILABLE, "the ledger refused the grant: ${reply.decision}")
    }

    private fun groupOf(region: String) = "ledger/$region"

    private companion object {
        private const val MIN_POLL_MS = 100L
        private const val MAX_POLL_MS = 1_000L
        private const val DELIVERY_TIMEOUT_MS = 2_000L

        /** Limits the home moves that one delivery follows; the command is then retried after a delay. */
        private const val MAX_MOVES = 16

        /** Well below the wait of a request, and longer than two tries of [LedgerRequester]. */
        private const val FORMER_HOME_TIMEOUT_MS = 1_200L
    }
}
