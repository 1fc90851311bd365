package org.arbutusrelay.daemon.observe

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import java.util.concurrent.ConcurrentHashMap

/**
 * Metrics of the quotas of tenants; a host creates those of a tenant when it first counts the tenant.
 *
 * Names come from the operator's documents, which may come with ever new ones, so those after the first [MAX_LABELS]
 * are counted together as [OTHER].
 */
public class QuotaMetrics internal constructor(private val registry: MeterRegistry) {
    private val labels = ConcurrentHashMap.newKeySet<String>()
    private val counters = ConcurrentHashMap<Pair<String, QuotaOutcome>, Counters>()
    private val levels = ConcurrentHashMap<String, Double>()

    @Volatile
    private var share = 0.0

    /** Counts a request for [tokens] of the quota of [tenant] that ended with [outcome]. */
    public fun count(tenant: String, outcome: QuotaOutcome, tokens: Long) {
        val ofTenant = counters.computeIfAbsent(labelOf(tenant) to outcome, ::createCounters)
        ofTenant.requests.increment()
        ofTenant.tokens.increment(tokens.toDouble())
    }

    /** Records the balance of each tenant on a state host that owns [newShare] of the quotas. */
    public fun record(newLevels: Map<String, Double>, newShare: Double) {
        share = newShare
        levels.keys.retainAll(newLevels.keys)
        newLevels.forEach { (tenant, level) -> if (levels.put(tenant, level) == null) registerGauges(tenant) }
    }

    private fun registerGauges(tenant: String) {
        // The balances of several tenants cannot be shown under one name.
        val label = labelOf(tenant).takeIf { it != OTHER } ?: return
        Gauge.builder("arbutus.quota.level") { levels[tenant] ?: 0.0 }.tag("tenant", label).register(registry)
        Gauge.builder("arbutus.quota.share") { if (levels.containsKey(tenant)) share else 0.0 }
            .tag("tenant", label).register(registry)
    }

    private fun labelOf(tenant: String): String = when {
        tenant in labels -> tenant
        labels.size >= MAX_LABELS -> OTHER
        else -> tenant.also { labels += it }
    }

    private fun createCounters(key: Pair<String, QuotaOutcome>) = Counters(
        createCounter("arbutus.quota.requests", key),
        createCounter("arbutus.quota.tokens", key),
    )

    private fun createCounter(name: String, key: Pair<String, QuotaOutcome>): Counter =
        Counter.builder(name).tag("tenant", key.first).tag("outcome", key.second.id).register(registry)

    private class Counters(val requests: Counter, val tokens: Counter)

    public companion object {
        /** Label of tenants beyond the first [MAX_LABELS]. */
        public const val OTHER: String = "other"

        /** Sites have about 16 tenants; each label adds eight time series. */
        public const val MAX_LABELS: Int = 64
    }
}

/** How a request for a part of a quota ended. */
public enum class QuotaOutcome {
    GRANTED,

    /** The tenant was beyond its quota. */
    EXCEEDED,

    /** No state host decided in time. */
    UNAVAILABLE,

    /** The tokens were given back, because the request did not run. */
    RETURNED,
    ;

    /** Name in metrics, such as `granted`. */
    public val id: String = name.lowercase()
}
