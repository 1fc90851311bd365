package org.arbutusrelay.core.tenancy.quota

import org.arbutusrelay.core.tenancy.TenantTable
import org.arbutusrelay.schema.message.QuotaPull
import org.arbutusrelay.schema.message.QuotaReply
import org.arbutusrelay.schema.message.QuotaRequest
import org.arbutusrelay.schema.message.QuotaReturn
import org.arbutusrelay.schema.message.QuotaTransfer

/** What a state host knows of the site when it decides on quotas. */
public data class QuotaSite(
    /** Tenants of the document in force; null if there is no document. */
    val tenants: TenantTable?,
    /** Host names of the voters of the replicated log. */
    val voters: Set<String>,
    /** Host names of the connected state hosts, without this one. */
    val connected: Set<String>,
    /** True while the document is proven to be current, or no proof is required. */
    val isCurrent: Boolean,
)

/**
 * The quotas of all tenants at one state host. Not thread-safe.
 *
 * Tokens are subtracted before they are granted or sent to a peer, and messages have numbers, so that a lost, repeated
 * or late message can lose tokens and never create any.
 */
public class QuotaNode(private val hostName: String, private val out: QuotaOutbox) {
    private val tenants = HashMap<String, TenantTokens>()
    private val share = QuotaShare()
    private val lastReturns = HashMap<String, ReturnMark>()
    private var site = QuotaSite(null, emptySet(), emptySet(), false)
    private var pullNumber = 0L
    private var tickedMs = Long.MIN_VALUE / 2

    /** Share of the quotas that this host owns; 0 while it grants nothing. */
    public var currentShare: Double = 0.0
        private set

    /** True if a tenant has a quota. */
    public val hasQuotas: Boolean get() = tenants.isNotEmpty()

    /** Balance of each tenant, in tokens. */
    public val levels: Map<String, Double> get() = tenants.mapValues { it.value.bucket.level }

    /** Applies what is known of the site and decides on waiting requests; to be called every 10 ms. */
    public fun tick(newSite: QuotaSite, nowMs: Long) {
        tickedMs = nowMs
        val previous = currentShare
        val majority = newSite.voters.size / 2 + 1
        val reached = newSite.voters.count { it == hostName || it in newSite.connected }
        val isActive = newSite.isCurrent && hostName in newSite.voters && reached >= majority
        currentShare = share.update(newSite.voters.size, isActive, nowMs)
        if (newSite != site || previous != currentShare) apply(newSite, nowMs)
        if (currentShare == 0.0) tenants.values.forEach { it.giveUp() } else tenants.values.forEach { it.tick(nowMs) }
    }

    private fun apply(newSite: QuotaSite, nowMs: Long) {
        site = newSite
        val limited = newSite.tenants?.tenants.orEmpty().mapNotNull { tenant ->
            tenant.quota?.let { tenant.name to it }
        }
        val names = limited.mapTo(HashSet()) { it.first }
        tenants.filterKeys { it !in names }.values.forEach { it.giveUp() }
        tenants.keys.retainAll(names)
        for ((name, quota) in limited) {
            val tokens =
                tenants.getOrPut(name) { TenantTokens(name, quota, currentShare, ::nextNumber, out, nowMs) }
            tokens.update(quota, currentShare, newSite.connected intersect newSite.voters, nowMs)
        }
    }

    /** Processes [request] of the entry host [host]; the reply may follow at a later call. */
    public fun onRequest(host: String, request: QuotaRequest, nowMs: Long) {
        val tenant = tenants[request.tenant]
        if (tenant == null || !mayDecide(nowMs)) {
            out.reply(host, QuotaReply(request.number, false, isUnavailable = true))
        } else {
            tenant.onRequest(host, request, nowMs)
        }
    }

    /** Processes [given] of the entry host [host], whose process is identified by [epoch]. */
    public fun onReturn(host: String, epoch: Long, given: QuotaReturn, nowMs: Long) {
        val last = lastReturns[host]
        if (last != null && last.epoch == epoch && given.number <= last.number) return
        if (lastReturns.size >= MAX_HOSTS) lastReturns.clear()
        lastReturns[host] = ReturnMark(epoch, given.number)
        if (mayDecide(nowMs)) tenants[given.tenant]?.onReturn(given.tokens, nowMs)
    }

    /** Processes [pull] of the state host [host]. */
    public fun onPull(host: String, pull: QuotaPull, nowMs: Long) {
        val tenant = tenants[pull.tenant]
        if (tenant == null || !mayDecide(nowMs)) {
            out.transfer(host, QuotaTransfer(pull.number, pull.tenant, 0))
        } else {
            tenant.onPull(host, pull, nowMs)
        }
    }

    /** Processes [transfer] of the state host [host]. */
    public fun onTransfer(host: String, transfer: QuotaTransfer, nowMs: Long) {
        if (mayDecide(nowMs)) tenants[transfer.tenant]?.onTransfer(host, transfer, nowMs)
    }

    /** After the process was suspended, messages may come before the first tick, when the share is an old one. */
    private fun mayDecide(nowMs: Long) = currentShare > 0 && nowMs - tickedMs <= QuotaShare.MAX_GAP_MS

    private fun nextNumber() = ++pullNumber

    private class ReturnMark(val epoch: Long, val number: Long)

    private companion object {
        /** Far above the number of entry hosts of a site, which is at most 90. */
        const val MAX_HOSTS = 1_000
    }
}
