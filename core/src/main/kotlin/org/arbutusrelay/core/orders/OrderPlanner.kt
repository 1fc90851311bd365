package org.arbutusrelay.core.orders

import org.arbutusrelay.schema.api.EngineOrder.Action
import org.arbutusrelay.schema.manifest.Placement
import org.arbutusrelay.schema.manifest.Service
import org.arbutusrelay.schema.message.BackendServerState

/** A change to one backend server that the placement requires. */
public data class ServerChange(
    public val service: Service,
    public val backendServer: BackendServerState,
    public val action: Action,
    /** Name of the model, adapter, version or role to load, unload or change to. */
    public val target: String,
)

/**
 * Computes the changes that bring the backend servers of a service in a region in line with its placement.
 *
 * Loads come first, then role changes, then unloads. Only models named in the placement are unloaded, because an engine
 * may have loaded other adapters on its own. A leaving backend server is not counted and receives no commands.
 */
public object OrderPlanner {
    /** Returns the changes for [service] in [region], most urgent first; [servers] may include other services. */
    public fun plan(service: Service, region: String, servers: List<BackendServerState>): List<ServerChange> {
        val placements = service.placement.filter { it.region == region }
        val available =
            servers
                .filter { it.service == service.name && it.region == region && !it.isLeaving && it.leaseMs > 0 }
                .sortedBy { it.name }
        val loads = placements.flatMap { loads(service, it, available) }
        val unloads = placements.flatMap { unloads(service, it, available) }
        return loads + roleChanges(service, placements, available) + unloads
    }

    private fun loads(service: Service, placement: Placement, servers: List<BackendServerState>): List<ServerChange> {
        val candidates = servers.filter { it.role == placement.role }
        val missing = placement.replicas - candidates.count { it.hasLoaded(placement.model) }
        return candidates
            .filterNot { it.hasLoaded(placement.model) }
            .sortedWith(compareBy({ it.models.size + it.adapters.size }, { it.running + it.queued }, { it.name }))
            .take(missing.coerceAtLeast(0).toInt())
            .map { ServerChange(service, it, Action.LOAD, placement.model) }
    }

    private fun unloads(service: Service, placement: Placement, servers: List<BackendServerState>): List<ServerChange> {
        val loaded = servers.filter { it.role == placement.role && it.hasLoaded(placement.model) }
        return loaded
            .sortedWith(compareBy({ it.running + it.queued }, { it.name }))
            .take((loaded.size - placement.replicas).coerceAtLeast(0).toInt())
            .map { ServerChange(service, it, Action.UNLOAD, placement.model) }
    }

    private fun roleChanges(
        service: Service,
        placements: List<Placement>,
        servers: List<BackendServerState>,
    ): List<ServerChange> {
        val needed = placements.groupBy { it.role }.mapValues { (_, group) -> group.maxOf { it.replicas } }
        val counts = servers.groupingBy { it.role }.eachCount()
        val surplus =
            servers
                .groupBy { it.role }
                .flatMap { (role, group) ->
                    group
                        .sortedWith(compareBy({ it.running + it.queued }, { it.name }))
                        .take((group.size - (needed[role] ?: 0)).coerceAtLeast(0).toInt())
                }.toMutableList()
        return needed.entries.sortedBy { it.key }.flatMap { (role, count) ->
            val missing = (count - (counts[role] ?: 0)).coerceAtLeast(0)
            List(minOf(missing, surplus.size.toLong()).toInt()) {
                ServerChange(service, surplus.removeAt(0), Action.CHANGE_ROLE, role)
            }
        }
    }

    private fun BackendServerState.hasLoaded(model: String) = model in models || model in adapters
}
