package org.arbutusrelay.daemon.ledger

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.arbutusrelay.daemon.link.FrameReceiver
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.schema.message.LedgerReply
import org.arbutusrelay.schema.message.LedgerReply.Decision
import org.arbutusrelay.schema.message.LedgerRequest
import org.arbutusrelay.schema.message.LinkFrame
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.TimeSource

/** Sends ledger requests to the leader of a region and matches replies to them. */
internal class LedgerRequester(
    private val network: LinkNetwork,
    private val stateHosts: (String) -> List<String>,
    private val local: LedgerService?,
    private val timeSource: TimeSource,
) : FrameReceiver {
    private val pendingCalls = ConcurrentHashMap<Long, PendingCall>()
    private val leaders = ConcurrentHashMap<String, String>()
    private val unmatchedCount = AtomicLong()

    /** Starts at a value derived from the process epoch, so that no reply to an earlier process matches. */
    private val nextCorrelation = AtomicLong((network.self.epoch and EPOCH_MASK) shl EPOCH_SHIFT)

    /** Number of replies that matched no pending request. */
    val unmatchedReplies: Long get() = unmatchedCount.get()

    override fun onFrame(from: HostIdentity, frame: LinkFrame) {
        val reply = frame.ledgerReply ?: return
        val pendingCall = pendingCalls[reply.correlation]
        if (pendingCall == null || pendingCall.hostName != from.hostName || pendingCall.epoch != from.epoch) {
            unmatchedCount.incrementAndGet()
            return
        }
        pendingCall.reply.complete(reply)
    }

    override fun onLinkDown(host: HostIdentity) {
        pendingCalls.values.filter { it.hostName == host.hostName }.forEach { it.reply.complete(null) }
    }

    /** Tries the hosts of [region] until a leader replies, with a new [request] per try; null after [timeoutMs]. */
    suspend fun call(region: String, timeoutMs: Long, request: (Long, Long) -> LedgerRequest): LedgerReply? {
        val start = timeSource.markNow()
        return withTimeoutOrNull(timeoutMs) {
            var tries = 0
            var reply: LedgerReply? = null
            while (reply == null) {
                val host = selectHost(region, tries++)
                val remainingMs = (timeoutMs - start.elapsedNow().inWholeMilliseconds).coerceAtLeast(0)
                val hostReply = host?.let { callHost(it, request(nextCorrelation.getAndIncrement(), remainingMs)) }
                reply = hostReply?.takeIf { it.decision != Decision.NO_LEADER }
                if (reply != null && host != null) leaders[region] = host else updateLeader(region, hostReply, tries)
            }
            reply
        }
    }

    private suspend fun updateLeader(region: String, hostReply: LedgerReply?, tries: Int) {
        val leaderHint = hostReply?.leaderName
        if (leaderHint == null) leaders.remove(region) else leaders[region] = leaderHint
        // Two hosts may name each other as leader during an election; the delay prevents a busy loop.
        if (leaderHint == null || tries > 1) delay(minOf(MIN_RETRY_DELAY_MS shl minOf(tries, 4), MAX_RETRY_DELAY_MS))
    }

    private fun selectHost(region: String, tries: Int): String? {
        val hosts = stateHosts(region)
        val cachedLeader = leaders[region]?.takeIf { it in hosts }
        return cachedLeader ?: hosts.takeIf { it.isNotEmpty() }?.let { it[tries % it.size] }
    }

    private suspend fun callHost(hostName: String, request: LedgerRequest): LedgerReply? {
        if (hostName == network.self.hostName) return local?.let { callLocal(it, request) }
        val epoch = network.connected()[hostName]?.epoch ?: return null
        val reply = CompletableDeferred<LedgerReply?>()
        pendingCalls[request.correlation] = PendingCall(hostName, epoch, reply)
        try {
            if (!network.send(hostName, LinkFrame(ledgerRequest = request))) return null
            return withTimeoutOrNull(TRY_TIMEOUT_MS) { reply.await() }
        } finally {
            pendingCalls.remove(request.correlation)
        }
    }

    private suspend fun callLocal(service: LedgerService, request: LedgerRequest): LedgerReply? =
        withTimeoutOrNull(TRY_TIMEOUT_MS) { service.serve(network.self, request) }

    private class PendingCall(val hostName: String, val epoch: Long, val reply: CompletableDeferred<LedgerReply?>)

    private companion object {
        private const val EPOCH_MASK = 0x3FFF_FFFFL
        private const val EPOCH_SHIFT = 32

        /** Longer than the round trip between regions (110 ms) plus a group commit. */
        private const val TRY_TIMEOUT_MS = 500L
        private const val MIN_RETRY_DELAY_MS = 20L
        private const val MAX_RETRY_DELAY_MS = 250L
    }
}
