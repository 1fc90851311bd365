package org.arbutusrelay.core.tenancy.quota

import org.arbutusrelay.core.tenancy.TokenQuota
import org.arbutusrelay.schema.message.QuotaPull
import org.arbutusrelay.schema.message.QuotaReply
import org.arbutusrelay.schema.message.QuotaRequest
import org.arbutusrelay.schema.message.QuotaTransfer

/** Decides for one tenant at one state host what is granted, refused, pulled from peers and given to them. */
internal class TenantTokens(
    name: String,
    quota: TokenQuota,
    share: Double,
    nextNumber: () -> Long,
    private val out: QuotaOutbox,
    nowMs: Long,
) {
    private class Waiting(val host: String, val request: QuotaRequest, val expiresMs: Long)

    val bucket: QuotaBucket = QuotaBucket(quota, share, nowMs)
    private var ratePerMs = quota.ratePerSecond / MS_PER_SECOND
    private val demand = RecentDemand()
    private val peers = QuotaPeers(name, nextNumber)
    private val waiting = ArrayDeque<Waiting>()
    private var waitingTokens = 0L

    /** Time until which the rate is promised to requests that were refused. */
    private var promisedUntilMs = 0.0

    fun update(quota: TokenQuota, share: Double, connected: Set<String>, nowMs: Long) {
        bucket.change(quota, share, nowMs)
        if (share == 0.0) bucket.empty(nowMs)
        ratePerMs = quota.ratePerSecond / MS_PER_SECOND
        peers.update(connected)
    }

    fun onRequest(host: String, request: QuotaRequest, nowMs: Long) {
        bucket.refill(nowMs)
        demand.record(request.tokens, nowMs)
        when {
            ratePerMs <= 0 || (waiting.isEmpty() && bucket.take(request.tokens)) -> grant(host, request)

            peers.mayGive() -> {
                waiting += Waiting(host, request, nowMs + HOLD_MS)
                waitingTokens += request.tokens
            }

            else -> refuse(host, request, nowMs)
        }
        pull(nowMs)
    }

    fun onReturn(tokens: Long, nowMs: Long) {
        bucket.refill(nowMs)
        bucket.add(tokens)
        serveWaiting(nowMs)
    }

    /** Answers [pull] of the peer [host]; the tokens are subtracted before they are sent. */
    fun onPull(host: String, pull: QuotaPull, nowMs: Long) {
        bucket.refill(nowMs)
        val keep = demand.perMs(nowMs) * KEEP_MS
        val given = if (waiting.isEmpty()) bucket.takeUpTo(pull.tokens, keep) else 0
        out.transfer(host, QuotaTransfer(pull.number, pull.tenant, given))
    }

    fun onTransfer(host: String, transfer: QuotaTransfer, nowMs: Long) {
        bucket.refill(nowMs)
        var left = peers.receive(host, transfer, nowMs)
        // Tokens for waiting requests may exceed the capacity together, so they are added one request at a time.
        while (left > 0 && waiting.isNotEmpty()) {
            val part = minOf(left, waiting.first().request.tokens)
            bucket.add(part)
            left -= part
            if (!serveFirst()) break
        }
        bucket.add(left)
        serveWaiting(nowMs)
        pull(nowMs)
    }

    fun tick(nowMs: Long) {
        bucket.refill(nowMs)
        peers.expire(nowMs)
        serveWaiting(nowMs)
        if (waiting.isNotEmpty()) pull(nowMs)
    }

    /** Refuses everything that waits, because this host may no longer decide. */
    fun giveUp() {
        waiting.forEach { out.reply(it.host, QuotaReply(it.request.number, false, isUnavailable = true)) }
        waiting.clear()
        waitingTokens = 0
    }

    private fun serveWaiting(nowMs: Long) {
        while (waiting.isNotEmpty() && serveFirst()) Unit
        while (waiting.isNotEmpty() && (waiting.first().expiresMs <= nowMs || !peers.mayGive())) {
            val first = removeFirst()
            // A smaller request behind one that waited in vain may fit.
            if (bucket.take(
                    first.request.tokens,
                )
            ) {
                grant(first.host, first.request)
            } else {
                refuse(first.host, first.request, nowMs)
            }
        }
    }

    private fun serveFirst(): Boolean {
        val first = waiting.first()
        if (!bucket.take(first.request.tokens)) return false
        removeFirst()
        grant(first.host, first.request)
        return true
    }

    private fun removeFirst(): Waiting = waiting.removeFirst().also { waitingTokens -= it.request.tokens }

    /** Asks peers for what is expected to be needed, before the bucket is empty. */
    private fun pull(nowMs: Long) {
        val perMs = demand.perMs(nowMs)
        val isUrgent = waiting.isNotEmpty()
        if (!isUrgent && bucket.level >= perMs * LOW_MS) return
        val usedMeanwhile = perMs * ROUND_TRIP_MS
        val room = bucket.capacity - bucket.level + waitingTokens + usedMeanwhile - peers.openTokens
        val wanted = perMs * HORIZON_MS - bucket.level + waitingTokens - peers.openTokens
        if (wanted < 1) return
        val tokens = minOf(wanted * ASK_FACTOR, maxOf(room, 0.0))
        peers.pull(tokens, isUrgent, nowMs).forEach { (peer, pull) -> out.pull(peer, pull) }
    }

    private fun grant(host: String, request: QuotaRequest) = out.reply(host, QuotaReply(request.number, true))

    /** Names the time at which the rate covers [request] after the requests that were refused before it. */
    private fun refuse(host: String, request: QuotaRequest, nowMs: Long) {
        val ownMs = nowMs + bucket.waitMs(request.tokens).toDouble()
        promisedUntilMs = maxOf(ownMs, promisedUntilMs + request.tokens / ratePerMs).coerceAtMost(nowMs + MAX_RETRY_MS)
        val retryAfterMs = maxOf(MIN_RETRY_MS, promisedUntilMs.toLong() - nowMs)
        out.reply(host, QuotaReply(request.number, false, retryAfterMs))
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0

        /** A round trip between regions takes 110 ms; the entry host waits for 150 ms. */
        const val HOLD_MS = 125L

        /** A pull takes 110 ms, during which the demand may double. */
        const val LOW_MS = 250.0
        const val HORIZON_MS = 400.0

        const val ROUND_TRIP_MS = 110.0

        /** A pull takes 110 ms; with 250 ms, buckets without a burst filled up and 1.8 % of the tokens were lost. */
        const val KEEP_MS = 120.0

        /** Peers that have less than their part are made up for by those that have more. */
        const val ASK_FACTOR = 2.0

        /** Quotas are checked over windows of 8 s; later than that nothing is promised. */
        const val MAX_RETRY_MS = 8_000.0
        const val MIN_RETRY_MS = 1L
    }
}
