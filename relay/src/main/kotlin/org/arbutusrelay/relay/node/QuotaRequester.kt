package org.arbutusrelay.relay.node

import org.arbutusrelay.core.tenancy.Tenant
import org.arbutusrelay.daemon.link.FrameReceiver
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.daemon.observe.QuotaMetrics
import org.arbutusrelay.daemon.observe.QuotaOutcome
import org.arbutusrelay.relay.exchange.QuotaClient
import org.arbutusrelay.relay.exchange.QuotaResult
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.QuotaReply
import org.arbutusrelay.schema.message.QuotaRequest
import org.arbutusrelay.schema.message.QuotaReturn

/**
 * Asks state hosts for tokens of the quotas of tenants.
 *
 * A request goes to the first of [targets]. Without a reply within [REPLY_MS], or if that host cannot decide, the next
 * one is asked, once. A grant that is no longer wanted is given back. Confined to the event loop, except for [onFrame].
 */
internal class QuotaRequester(
    private val network: LinkNetwork,
    private val targets: () -> List<String>,
    private val loop: HostLoop,
    private val nowMs: () -> Long,
    private val metrics: QuotaMetrics,
) : QuotaClient,
    FrameReceiver {
    private class Call(val tenant: String, val tokens: Long, val onResult: (QuotaResult) -> Unit) {
        val asked = ArrayList<String>(MAX_HOSTS)
        var isDone = false
    }

    private class Query(val call: Call, val host: String, val sentMs: Long) {
        var isTimedOut = false
    }

    private data class Granter(val tenant: String, val host: String)

    /** Queries without a reply, by number and thus in the order in which they were sent. */
    private val queries = LinkedHashMap<Long, Query>()
    private val lastGranters = HashMap<String, String>()
    private val returns = HashMap<Granter, Long>()
    private var returnsDueMs = Long.MAX_VALUE

    /** Starts differently in each process, so that a late reply to an earlier process matches no request. */
    private var number = network.self.epoch and MAX_FIRST_NUMBER
    private var returnNumber = 0L
    private var isTimerSet = false

    override fun acquire(tenant: Tenant, tokens: Long, onResult: (QuotaResult) -> Unit) =
        askNext(Call(tenant.name, tokens, onResult))

    override fun giveBack(tenant: Tenant, tokens: Long) {
        metrics.count(tenant.name, QuotaOutcome.RETURNED, tokens)
        lastGranters[tenant.name]?.let { collectReturn(Granter(tenant.name, it), tokens) }
    }

    override fun onFrame(from: HostIdentity, frame: LinkFrame) {
        val reply = frame.quotaReply ?: return
        loop.execute { onReply(from.hostName, reply) }
    }

    private fun askNext(call: Call) {
        for (host in targets()) {
            if (call.asked.size >= MAX_HOSTS) break
            if (host in call.asked) continue
            call.asked += host
            if (send(call, host)) return
        }
        finish(call, QuotaResult.Unavailable)
    }

    private fun send(call: Call, host: String): Boolean {
        val request = QuotaRequest(++number, call.tenant, call.tokens)
        if (!network.send(host, LinkFrame(quotaRequest = request))) return false
        queries[request.number] = Query(call, host, nowMs())
        setTimer()
        return true
    }

    private fun onReply(host: String, reply: QuotaReply) {
        val query = queries[reply.number]?.takeIf { it.host == host } ?: return
        queries.remove(reply.number)
        val call = query.call
        when {
            reply.isGranted && (call.isDone || isLate(query)) -> {
                collectReturn(Granter(call.tenant, host), call.tokens)
                if (!call.isDone && queries.values.none { it.call === call }) askNext(call)
            }

            call.isDone -> Unit

            reply.isGranted -> {
                lastGranters[call.tenant] = host
                finish(call, QuotaResult.Granted)
            }

            // Another host has been asked instead, or will be at the next run of the timer.
            query.isTimedOut -> Unit

            reply.isUnavailable -> askNext(call)

            else -> finish(call, QuotaResult.Exceeded(reply.retryAfterMs))
        }
    }

    /** A process that was suspended may receive a grant before it notices that the time has passed. */
    private fun isLate(query: Query) = nowMs() - query.sentMs > MAX_GRANT_AGE_MS

    private fun finish(call: Call, result: QuotaResult) {
        if (call.isDone) return
        call.isDone = true
        val outcome = when (result) {
            QuotaResult.Granted -> QuotaOutcome.GRANTED
            is QuotaResult.Exceeded -> QuotaOutcome.EXCEEDED
            QuotaResult.Unavailable -> QuotaOutcome.UNAVAILABLE
        }
        metrics.count(call.tenant, outcome, call.tokens)
        call.onResult(result)
    }

    private fun collectReturn(granter: Granter, tokens: Long) {
        if (returns.isEmpty()) returnsDueMs = nowMs() + RETURN_DELAY_MS
        returns.merge(granter, tokens, Long::plus)
        setTimer()
    }

    private fun setTimer() {
        if (isTimerSet) return
        isTimerSet = true
        loop.schedule(TIMER_MS, ::onTimer)
    }

    private fun onTimer() {
        isTimerSet = false
        val now = nowMs()
        queries.values.removeIf { now - it.sentMs > FORGET_MS && it.call.isDone }
        val timedOut = queries.values.filter { !it.isTimedOut && now - it.sentMs >= REPLY_MS }
        try {
            for (query in timedOut) {
                query.isTimedOut = true
                if (!query.call.isDone) askNext(query.call)
            }
            if (now >= returnsDueMs) sendReturns()
        } finally {
            // A callback that fails must not keep the other requests waiting.
            if (queries.isNotEmpty() || returns.isNotEmpty()) setTimer()
        }
    }

    /** Sends the collected returns; those to a host that is not connected are lost, which only costs tokens. */
    private fun sendReturns() {
        returns.forEach { (granter, tokens) ->
            val given = QuotaReturn(++returnNumber, granter.tenant, tokens)
            network.send(granter.host, LinkFrame(quotaReturn = given))
        }
        returns.clear()
        returnsDueMs = Long.MAX_VALUE
    }

    internal companion object {
        /** Of the 150 ms, a state host may hold a request for 125 ms while it asks its peers. */
        const val REPLY_MS = 150L

        /** The first host and one other. */
        const val MAX_HOSTS = 2
        const val TIMER_MS = 10L

        /** Tokens that run this long after they were counted are covered by the overage of a quota, a tenth. */
        const val MAX_GRANT_AGE_MS = 800L

        /** Collects the returns of requests that were refused together. */
        const val RETURN_DELAY_MS = 100L

        const val MAX_FIRST_NUMBER = (1L shl 52) - 1

        /** A grant that comes even later is lost instead of given back. */
        const val FORGET_MS = 2_000L
    }
}
