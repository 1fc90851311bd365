package org.arbutusrelay.core.routing

/** What the choice of a backend server or region rested on, for the log. */
public data class PlacementBasis(
    /** Requests that it was believed to hold, the new one included. */
    val load: Long,
    /** Requests that it may hold, as believed. */
    val limit: Long,
    /** Predicted time to the first byte, in milliseconds. */
    val predictedMs: Long,
    /** How much longer the backend server tolerates only a few requests, in milliseconds; 0 for a region. */
    val coldMs: Long = 0,
    /** Number of the announcement that the belief rests on; null for a region. */
    val version: Long? = null,
    /** Age of the routing table, in milliseconds; null when it does not tell its time. */
    val tableAgeMs: Long? = null,
)
