package org.arbutusrelay.daemon.site

import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.SiteState

/** What one host knows of its site; read-only, replaced as a whole. */
public data class SiteView(
    /** Document and evacuations in force here. */
    val state: SiteState,
    /** Hosts that were heard of lately, this one included. */
    val hosts: List<HostState>,
    /** Backend servers with the lease and cold time that remained at [builtAtMs]. */
    val backendServers: List<BackendServerState>,
    /** When the view was built, on the monotonic clock, in milliseconds. */
    val builtAtMs: Long,
) {
    /** Hosts that take requests of callers and are not leaving. */
    val entryHosts: List<HostState> = hosts.filter { it.callerAddress.isNotEmpty() && !it.isLeaving }
}
