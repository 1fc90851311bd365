package org.arbutusrelay.core.membership

import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.LoadColumns
import org.arbutusrelay.schema.message.RegionDigest

/**
 * Builds the digests for one receiver on one link: each contains the changes since the previous one.
 *
 * The first digest is complete. A link is ordered and reliable while it is up; [reset] is called when it went down or
 * rejected a digest.
 */
internal class DigestStream {
    private val hosts = HashMap<String, Long>()
    private val servers = HashMap<String, SentVersion>()
    private var isFull = true

    fun reset() {
        hosts.clear()
        servers.clear()
        isFull = true
    }

    /** Builds the next digest; [hasLoads] is false when another aggregator sends the loads to the receiver. */
    fun next(
        header: RegionDigest,
        currentHosts: List<HostEntry>,
        currentServers: List<BackendServerEntry>,
        hasLoads: Boolean,
        nowMs: Long,
    ): RegionDigest {
        val (full, loads) = servers(currentServers, hasLoads)
        val digest = header.copy(
            hosts = changedHosts(currentHosts).map { it.digestState(nowMs) },
            removedHosts = removed(hosts, currentHosts.map { it.state.hostName }),
            backendServers = full,
            removedBackendServers = removed(servers, currentServers.map { it.state.name }),
            loads = loads,
            isFull = isFull,
        )
        isFull = false
        return digest
    }

    private fun changedHosts(current: List<HostEntry>): List<HostEntry> =
        current.filter { entry -> hosts.put(entry.state.hostName, entry.changeNumber) != entry.changeNumber }

    private fun servers(
        current: List<BackendServerEntry>,
        hasLoads: Boolean,
    ): Pair<List<BackendServerState>, LoadColumns?> {
        val full = ArrayList<BackendServerState>()
        val loads = ArrayList<BackendServerEntry>()
        for (entry in current) {
            val sent = servers[entry.state.name]
            when {
                sent?.changeNumber != entry.changeNumber -> full += entry.state
                sent.loadChangeNumber != entry.loadChangeNumber && hasLoads -> loads += entry
                else -> continue
            }
            servers[entry.state.name] = SentVersion(entry.changeNumber, entry.loadChangeNumber)
        }
        return separateCollidingSlots(full, loads)
    }

    private fun <V> removed(sent: HashMap<String, V>, current: List<String>): List<String> {
        if (sent.size == current.size) return emptyList()
        return (sent.keys - current.toSet()).toList().onEach { sent.remove(it) }
    }

    private class SentVersion(val changeNumber: Long, val loadChangeNumber: Long)
}

/** Moves servers whose slots collide from the load columns to the full states. */
internal fun separateCollidingSlots(
    full: List<BackendServerState>,
    loads: List<BackendServerEntry>,
): Pair<List<BackendServerState>, LoadColumns?> {
    val colliding = loads.groupBy { it.slot }.filterValues { it.size > 1 }.values.flatten().map { it.state }
    val columns = if (colliding.isEmpty()) loads.map { it.state } else loads.map { it.state } - colliding.toSet()
    return full + colliding to LoadSlots.encode(columns)
}
