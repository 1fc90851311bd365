package org.arbutusrelay.daemon.site

import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.SiteState

/** Immutable view that one host has of its site. */
public data class SiteView(
    /** Document and evacuations that are in force on this host. */
    val state: SiteState,
    /** Live hosts, including this one. */
    val hosts: List<HostState>,
    /** Backend servers with their remaining lease and cold time at [builtAtMs]. */
    val backendServers: List<BackendServerState>,
    /** Creation time of the view on the monotonic clock, in milliseconds. */
    val builtAtMs: Long,
    /** Keys of prompt parts and requests that crash backend servers and are not sent to any. */
    val heldBack: Set<String> = emptySet(),
    /** State host that sent [state]; empty on a state host, and while there is none. */
    val stateSource: String = "",
) {
    /** Hosts that accept requests from callers and are not leaving. */
    val entryHosts: List<HostState> = hosts.filter { it.callerAddress.isNotEmpty() && !it.isLeaving }

    /** Hosts that take requests of other regions: [entryHosts], and stopping ones where a region has no others. */
    val forwardHosts: List<HostState> by lazy {
        val regions = entryHosts.mapTo(HashSet()) { it.region }
        entryHosts + hosts.filter { it.isLeaving && it.callerAddress.isNotEmpty() && it.region !in regions }
    }
}
