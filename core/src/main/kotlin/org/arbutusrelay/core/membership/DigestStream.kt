package org.arbutusrelay.core.membership

import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.LoadColumns
import org.arbutusrelay.schema.message.RegionDigest

/**
 * The digests for one receiver on one link: each tells what changed since the one before.
 *
 * The first is complete. A link keeps order and loses nothing while it is up; [reset] is called when it went down or
 * refused a digest.
 */
internal class DigestStream {
    private val hosts = HashMap<String, Long>()
    private val servers = HashMap<String, Told>()
    private var isFull = true

    fun reset() {
        hosts.clear()
        servers.clear()
        isFull = true
    }

    /** Builds the next digest; [hasLoads] is false where another aggregator tells the receiver the loads. */
    fun next(
        header: RegionDigest,
        currentHosts: List<HostEntry>,
        currentServers: List<BackendServerEntry>,
        hasLoads: Boolean,
        nowMs: Long,
    ): RegionDigest {
        val (full, loads) = servers(currentServers, hasLoads)
        val digest = header.copy(
            hosts = changedHosts(currentHosts).map { it.report(nowMs) },
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
        current.filter { entry -> hosts.put(entry.state.hostName, entry.change) != entry.change }

    private fun servers(
        current: List<BackendServerEntry>,
        hasLoads: Boolean,
    ): Pair<List<BackendServerState>, LoadColumns?> {
        val full = ArrayList<BackendServerState>()
        val loads = ArrayList<BackendServerEntry>()
        for (entry in current) {
            val told = servers[entry.state.name]
            when {
                told?.change != entry.change -> full += entry.state
                told.loadChange != entry.loadChange && hasLoads -> loads += entry
                else -> continue
            }
            servers[entry.state.name] = Told(entry.change, entry.loadChange)
        }
        return split(full, loads)
    }

    private fun <V> removed(told: HashMap<String, V>, current: List<String>): List<String> {
        if (told.size == current.size) return emptyList()
        return (told.keys - current.toSet()).toList().onEach { told.remove(it) }
    }

    private class Told(val change: Long, val loadChange: Long)
}

/** Moves servers whose slots collide with another one from the columns to the full states. */
internal fun split(
    full: List<BackendServerState>,
    loads: List<BackendServerEntry>,
): Pair<List<BackendServerState>, LoadColumns?> {
    val colliding = loads.groupBy { it.slot }.filterValues { it.size > 1 }.values.flatten().map { it.state }
    val columns = if (colliding.isEmpty()) loads.map { it.state } else loads.map { it.state } - colliding.toSet()
    return full + colliding to LoadSlots.encode(columns)
}
