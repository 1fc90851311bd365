package org.arbutusrelay.relay.exchange

import org.arbutusrelay.core.route.Route
import org.arbutusrelay.relay.dialect.RequestMetadata

/** What the route document in force when a request arrived states about it. */
internal class ResolvedRequest(
    val route: Route,
    val metadata: RequestMetadata,
    val serviceName: String,
    /** Time until which the caller waits, on the monotonic clock, in milliseconds. */
    val deadlineMs: Long,
    /** Number of the route document. */
    val documentNumber: Long,
    /** Tenant of the request; null on public routes, and where the document has no tenants. */
    val tenantName: String? = null,
) {
    /** Returns the same request to the service [name] of its route. */
    fun withService(name: String): ResolvedRequest =
        ResolvedRequest(route, metadata, name, deadlineMs, documentNumber, tenantName)
}
