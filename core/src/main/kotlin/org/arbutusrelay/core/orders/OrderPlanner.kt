package org.arbutusrelay.core.orders

import org.arbutusrelay.schema.api.EngineOrder.Action
import org.arbutusrelay.schema.manifest.Placement
import org.arbutusrelay.schema.manifest.Service
import org.arbutusrelay.schema.message.BackendServerState

/** A change of one backend server that the placement asks for. */
public data class WantedChange(
    public val service: Service,
    public val backendServer: BackendServerState,
    public val action: Action,
    /** Model, adapter, version or role. */
    public val target: String,
)

/**
 * Compares the placement of a service with what its backend servers in a region hold.
 *
 * Loads come first, then changes of role, then unloads. Only what the placement names is unloaded, because an engine
 * may hold other adapters for reasons of its own. A leaving backend server counts for nothing and gets no order.
 */
public object OrderPlanner {
    /** Returns the wanted changes of [service] in [region], the most urgent first; [servers] may be of any service. */
    public fun plan(service: Service, region: String, servers: List<BackendServerState>): List<WantedChange> {
        val placements = service.placement.filter { it.region == region }
        val usable =
            servers
                .filter { it.service == service.name && it.region == region && !it.isLeaving && it.leaseMs > 0 }
                .sortedBy { it.name }
        val loads = placements.flatMap { loads(service, it, usable) }
        val unloads = placements.flatMap { unloads(service, it, usable) }
        return loads + roleChanges(service, placements, usable) + unloads
    }

    private fun loads(service: Service, placement: Placement, servers: List<BackendServerState>): List<WantedChange> {
        val inRole = servers.filter { it.role == placement.role }
        val missing = placement.replicas - inRole.count { it.holds(placement.model) }
        return inRole
            .filterNot { it.holds(placement.model) }
            .sortedWith(compareBy({ it.models.size + it.adapters.size }, { it.running + it.queued }, { it.name }))
            .take(missing.coerceAtLeast(0).toInt())
            .map { WantedChange(service, it, Action.LOAD, placement.model) }
    }

    private fun unloads(service: Service, placement: Placement, servers: List<BackendServerState>): List<WantedChange> {
        val holding = servers.filter { it.role == placement.role && it.holds(placement.model) }
        return holding
            .sortedWith(compareBy({ it.running + it.queued }, { it.name }))
            .take((holding.size - placement.replicas).coerceAtLeast(0).toInt())
            .map { WantedChange(service, it, Action.UNLOAD, placement.model) }
    }

    private fun roleChanges(
        service: Service,
        placements: List<Placement>,
        servers: List<BackendServerState>,
    ): List<WantedChange> {
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
                WantedChange(service, surplus.removeAt(0), Action.CHANGE_ROLE, role)
            }
        }
    }

    private fun BackendServerState.holds(model: String) = model in models || model in adapters
}
