package org.arbutusrelay.relay.exchange

import org.arbutusrelay.core.membership.Rendezvous
import org.arbutusrelay.schema.message.HostState
import java.util.concurrent.atomic.AtomicReference

/** Selects the entry host of another region to which a request is forwarded. */
internal class ForwardTargets(private val forwardPort: Int) {
    private val byRegion = AtomicReference<Map<String, List<HostState>>>(emptyMap())

    /** Replaces the known entry hosts. */
    fun update(entryHosts: List<HostState>) {
        byRegion.set(entryHosts.groupBy { it.region })
    }

    /**
     * Returns the address of a host in [region], or null when it has none.
     *
     * Requests with the same [affinity] use the same host, unless it is among the [tried] addresses and another is not.
     */
    fun select(region: String, affinity: String, tried: Set<String>): String? {
        val names = byRegion.get()[region].orEmpty().map { it.hostName }
        val ranked = Rendezvous.rank(affinity, names).map { "$it:$forwardPort" }
        return ranked.firstOrNull { it !in tried } ?: ranked.firstOrNull()
    }
}
