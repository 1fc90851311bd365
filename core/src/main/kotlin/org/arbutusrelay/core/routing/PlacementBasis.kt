package org.arbutusrelay.core.routing

/** Inputs to the selection of a backend server or region, for the log. */
public data class PlacementBasis(
    /** Estimated requests in flight there; for a backend server, this includes the new one. */
    val load: Long,
    /** Estimated limit on the requests in flight there. */
    val limit: Long,
    /** Predicted time to first byte, in milliseconds. */
    val predictedMs: Long,
    /** Time until the backend server is warm, in milliseconds; 0 for a region. */
    val coldMs: Long = 0,
    /** Version of the backend server state that was used; null for a region. */
    val version: Long? = null,
    /** Age of the routing table, in milliseconds; null when the table has no build time. */
    val tableAgeMs: Long? = null,
)
