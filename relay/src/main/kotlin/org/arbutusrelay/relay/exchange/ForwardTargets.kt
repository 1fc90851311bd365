package org.arbutusrelay.relay.exchange

import org.arbutusrelay.core.membership.Rendezvous
import org.arbutusrelay.schema.message.HostState
import java.util.concurrent.atomic.AtomicReference

/** Finds the host of another region that takes a request from here. */
internal class ForwardTargets(private val forwardPort: Int) {
    private val byRegion = AtomicReference<Map<String, List<HostState>>>(emptyMap())

    /** Replaces the hosts that take requests. */
    fun update(entryHosts: List<HostState>) {
        byRegion.set(entryHosts.groupBy { it.region })
    }

    /** Returns the address of a host in [region]; requests with the same [affinity] use the same host. */
    fun find(region: String, affinity: String, tried: Set<String>): String? {
        val names = byRegion.get()[region].orEmpty().map { it.hostName }
        val ranked = Rendezvous.rank(affinity, names).map { "$it:$forwardPort" }
        return ranked.firstOrNull { it !in tried } ?: ranked.firstOrNull()
    }
}
