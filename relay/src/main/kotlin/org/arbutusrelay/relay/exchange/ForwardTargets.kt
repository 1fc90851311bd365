package org.arbutusrelay.relay.exchange

import org.arbutusrelay.core.membership.Rendezvous
import org.arbutusrelay.schema.message.HostState
import java.util.concurrent.atomic.AtomicReference

/**
 * Selects the entry host of another region to which a request is forwarded.
 *
 * Confined to the event loop except for [update].
 */
internal class ForwardTargets(private val forwardPort: Int) {
    private val byRegion = AtomicReference<Map<String, List<HostState>>>(emptyMap())

    private val unreachableUntilMs = HashMap<String, Long>()

    /** Replaces the known entry hosts. */
    fun update(entryHosts: List<HostState>) {
        byRegion.set(entryHosts.groupBy { it.region })
    }

    /**
     * Returns the address of a host in [region], or null when it has none.
     *
     * Requests with the same [affinity] use the same host, unless it is among the [tried] addresses or was unreachable
     * shortly before [nowMs], and another is not.
     */
    fun select(region: String, affinity: String, tried: Set<String>, nowMs: Long): String? {
        val names = byRegion.get()[region].orEmpty().map { it.hostName }
        val ranked = Rendezvous.rank(affinity, names).map { "$it:$forwardPort" }
        unreachableUntilMs.values.removeIf { it <= nowMs }
        return ranked.firstOrNull { it !in tried && it !in unreachableUntilMs } ?: ranked.firstOrNull { it !in tried }
            ?: ranked.firstOrNull()
    }

    /** Returns true if [region] has a host that is not among the [tried] addresses. */
    fun hasOther(region: String, tried: Set<String>): Boolean =
        byRegion.get()[region].orEmpty().any { "${it.hostName}:$forwardPort" !in tried }

    /** Avoids the host at [address] for a while, because it could not be connected to. */
    fun recordUnreachable(address: String, nowMs: Long) {
        unreachableUntilMs[address] = nowMs + AVOIDANCE_MS
    }

    private companion object {
        /** A host that ended leaves the table after 3.5 s; until then its requests would each lose a second. */
        const val AVOIDANCE_MS = 2_000L
    }
}
