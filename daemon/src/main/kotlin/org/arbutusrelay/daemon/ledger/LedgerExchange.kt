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

/** Sends ledger requests to the leader of a region and matches the replies. */
internal class LedgerExchange(
    private val network: LinkNetwork,
    private val stateHosts: (String) -> List<String>,
    private val local: LedgerService?,
    private val timeSource: TimeSource,
) : FrameReceiver {
    private val pending = ConcurrentHashMap<Long, Pending>()
    private val leaders = ConcurrentHashMap<String, String>()
    private val unmatched = AtomicLong()

    /** Numbers of a process start at a value of its epoch, so that no reply to a former process matches. */
    private val nextCorrelation = AtomicLong((network.self.epoch and EPOCH_MASK) shl EPOCH_SHIFT)

    /** Replies that matched no open request. */
    val unmatchedReplies: Long get() = unmatched.get()

    override fun onFrame(from: HostIdentity, frame: LinkFrame) {
        val reply = frame.ledgerReply ?: return
        val match = pending[reply.correlation]
        if (match == null || match.hostName != from.hostName || match.epoch != from.epoch) {
            unmatched.incrementAndGet()
            return
        }
        match.reply.complete(reply)
    }

    override fun onLinkDown(host: HostIdentity) {
        pending.values.filter { it.hostName == host.hostName }.forEach { it.reply.complete(null) }
    }

    /** Asks until a leader answers; null when [timeoutMs] passes before. [request] is built for each attempt. */
    suspend fun ask(region: String, timeoutMs: Long, request: (Long, Long) -> LedgerRequest): LedgerReply? {
        val start = timeSource.markNow()
        return withTimeoutOrNull(timeoutMs) {
            var tries = 0
            var reply: LedgerReply? = null
            while (reply == null) {
                val host = target(region, tries++)
                val remainingMs = (timeoutMs - start.elapsedNow().inWholeMilliseconds).coerceAtLeast(0)
                val answer = host?.let { askHost(it, request(nextCorrelation.getAndIncrement(), remainingMs)) }
                reply = answer?.takeIf { it.decision != Decision.NO_LEADER }
                if (reply != null && host != null) leaders[region] = host else follow(region, answer, tries)
            }
            reply
        }
    }

    private suspend fun follow(region: String, answer: LedgerReply?, tries: Int) {
        val named = answer?.leaderName
        if (named == null) leaders.remove(region) else leaders[region] = named
        // Two hosts may name each other while a leader is elected; the delay keeps that from becoming a busy loop.
        if (named == null || tries > 1) delay(minOf(MIN_DELAY_MS shl minOf(tries, 4), MAX_DELAY_MS))
    }

    private fun target(region: String, tries: Int): String? {
        val hosts = stateHosts(region)
        val known = leaders[region]?.takeIf { it in hosts }
        return known ?: hosts.takeIf { it.isNotEmpty() }?.let { it[tries % it.size] }
    }

    private suspend fun askHost(hostName: String, request: LedgerRequest): LedgerReply? {
        if (hostName == network.self.hostName) return local?.let { askLocal(it, request) }
        val epoch = network.connected()[hostName]?.epoch ?: return null
        val reply = CompletableDeferred<LedgerReply?>()
        pending[request.correlation] = Pending(hostName, epoch, reply)
        try {
            if (!network.send(hostName, LinkFrame(ledgerRequest = request))) return null
            return withTimeoutOrNull(TRY_TIMEOUT_MS) { reply.await() }
        } finally {
            pending.remove(request.correlation)
        }
    }

    private suspend fun askLocal(service: LedgerService, request: LedgerRequest): LedgerReply? =
        withTimeoutOrNull(TRY_TIMEOUT_MS) { service.serve(network.self, request) }

    private class Pending(val hostName: String, val epoch: Long, val reply: CompletableDeferred<LedgerReply?>)

    private companion object {
        private const val EPOCH_MASK = 0x3FFF_FFFFL
        private const val EPOCH_SHIFT = 32

        /** Above the round trip between regions (110 ms) and a group commit. */
        private const val TRY_TIMEOUT_MS = 500L
        private const val MIN_DELAY_MS = 20L
        private const val MAX_DELAY_MS = 250L
    }
}
