package org.arbutusrelay.relay.exchange

import org.arbutusrelay.core.relay.AttemptFailure
import org.arbutusrelay.core.route.Route
import org.arbutusrelay.core.routing.RequestProfile
import org.arbutusrelay.relay.ingress.IngressRequest

/** Applies the homes of the document in force to one request, which may have arrived under another document. */
internal class RequestRegions(
    private val context: RelayContext,
    private val request: IngressRequest,
    profiles: ProfileBuilder,
) {
    /** Decides in which regions the request may run. */
    val homes = profiles.homesOf(request.isForwarded)

    /**
     * Returns [profile], that of [resolved], with the regions that the next send may go to.
     *
     * All else stays as in the request's own document: its caller sent it before the change.
     */
    fun applyTo(profile: RequestProfile, resolved: ResolvedRequest): RequestProfile {
        val regions = homes.regionsFor(routeInForce(resolved))
        return if (regions == profile.allowedRegions) profile else profile.copy(allowedRegions = regions)
    }

    /** Returns true if the request must not wait on with the regions of [profile]. */
    fun mustMove(profile: RequestProfile, resolved: ResolvedRequest): Boolean =
        homes.mustMove(profile.allowedRegions, routeInForce(resolved))

    /** Closes the region of [failed] to the request if no host there takes it; [tried] are the addresses before. */
    fun recordFailed(failed: Attempt, failure: AttemptFailure, tried: Set<String>) {
        val isUnreachable = failure == AttemptFailure.NOT_SENT && failed.placed.backendServer.isEmpty()
        if (isUnreachable) context.forwardTargets.recordUnreachable(failed.address, context.clock.nowMs())
        if (!isUnreachable && !failed.isRegionRefused) return
        val region = failed.placed.region
        // One host may still have an older document than the others of its region.
        if (!context.forwardTargets.hasOther(region, tried + failed.address)) homes.close(region)
    }

    /** Returns the route of the request in the document in force, or its own if that has none for it. */
    private fun routeInForce(resolved: ResolvedRequest): Route {
        val table = context.routes.get()
        if (table == null || table.plan.number == resolved.documentNumber) return resolved.route
        val route = table.find(request.authority, request.path) ?: return resolved.route
        val tenantName = resolved.tenantName ?: return route
        val tenant = table.tenants?.named(tenantName)
        // A tenant that the new document lacks keeps its homes.
        return tenant?.let(route::forTenant) ?: route.copy(tenantHomeRegions = resolved.route.tenantHomeRegions)
    }
}
