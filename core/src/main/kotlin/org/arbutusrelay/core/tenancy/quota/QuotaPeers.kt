package org.arbutusrelay.core.tenancy.quota

import org.arbutusrelay.schema.message.QuotaPull
import org.arbutusrelay.schema.message.QuotaTransfer
import kotlin.math.ceil

/** Decides for one tenant which peers are asked for tokens, and which are known to have none. */
internal class QuotaPeers(private val tenant: String, private val nextNumber: () -> Long) {
    private class Peer {
        /** True while the peer is known to have less than it was asked for. */
        var isDry = false
        var dryMs = 0L
        var askAgainMs = 0L
        var askedMs = Long.MIN_VALUE / 2
    }

    private class OpenPull(val peer: String, val tokens: Long, val sentMs: Long)

    private val peers = HashMap<String, Peer>()
    private val open = HashMap<Long, OpenPull>()

    /** Tokens that were asked for and have not arrived. */
    val openTokens: Long get() = open.values.sumOf { it.tokens }

    /** Changes the peers that are connected. */
    fun update(connected: Set<String>) {
        peers.keys.retainAll(connected)
        connected.forEach { peers.getOrPut(it, ::Peer) }
        open.values.removeIf { it.peer !in connected }
    }

    /** Returns true if a peer may have tokens to give. */
    fun mayGive(): Boolean = peers.values.any { !it.isDry }

    /** Returns pulls, by peer, that together ask for [tokens]; [isUrgent] asks again before a peer has answered. */
    fun pull(tokens: Double, isUrgent: Boolean, nowMs: Long): Map<String, QuotaPull> {
        val asked = peers.filter { (name, peer) -> mayAsk(name, peer, isUrgent, nowMs) }
        val each = ceil(tokens / maxOf(1, asked.size)).toLong()
        if (each <= 0) return emptyMap()
        return asked.mapValues { (name, peer) ->
            peer.askedMs = nowMs
            val pull = QuotaPull(nextNumber(), tenant, each)
            open[pull.number] = OpenPull(name, each, nowMs)
            pull
        }
    }

    private fun mayAsk(name: String, peer: Peer, isUrgent: Boolean, nowMs: Long) = when {
        nowMs < peer.askAgainMs -> false
        open.values.none { it.peer == name } -> true
        else -> isUrgent && !peer.isDry && nowMs - peer.askedMs >= URGENT_INTERVAL_MS
    }

    /** Returns the tokens of [transfer] that count: none if it was not asked for, is repeated or is late. */
    fun receive(from: String, transfer: QuotaTransfer, nowMs: Long): Long {
        val pull = open[transfer.number]?.takeIf { it.peer == from } ?: return 0
        open.remove(transfer.number)
        val peer = peers[from] ?: return 0
        peer.isDry = transfer.tokens < pull.tokens
        peer.dryMs = nowMs
        if (peer.isDry) peer.askAgainMs = nowMs + DRY_PAUSE_MS
        return minOf(transfer.tokens, pull.tokens)
    }

    /** Gives up pulls without an answer, and forgets that peers had no tokens. */
    fun expire(nowMs: Long) {
        open.values.removeIf { pull ->
            val isLate = nowMs - pull.sentMs > ANSWER_MS
            if (isLate) peers[pull.peer]?.let { markSilent(it, nowMs) }
            isLate
        }
        peers.values.forEach {
            if (it.isDry && nowMs - it.dryMs > DRY_MEMORY_MS &&
                nowMs >= it.askAgainMs
            ) {
                it.isDry = false
            }
        }
    }

    private fun markSilent(peer: Peer, nowMs: Long) {
        peer.isDry = true
        peer.dryMs = nowMs
        peer.askAgainMs = nowMs + SILENT_PAUSE_MS
    }

    private companion object {
        /** With a round trip of 110 ms below the 400 ms in which a peer without a burst fills up. */
        const val DRY_PAUSE_MS = 100L

        /** Requests are held again for a peer that was found empty before this time; load changes within 1 to 3 s. */
        const val DRY_MEMORY_MS = 2_000L

        /** A round trip between regions takes 110 ms. */
        const val ANSWER_MS = 250L

        /** Time for which a peer that did not answer is not asked. */
        const val SILENT_PAUSE_MS = 1_000L

        /** Requests of a sudden burst that arrive within this time are asked for together. */
        const val URGENT_INTERVAL_MS = 10L
    }
}
