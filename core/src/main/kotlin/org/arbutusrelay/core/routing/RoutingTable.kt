package org.arbutusrelay.core.routing

import org.arbutusrelay.schema.manifest.RegionLink
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.ServiceSummary

/** Immutable state that routing decisions are based on; it is replaced when membership or the manifest changes. */
public data class RoutingTable(
    /** Region of this host. */
    val region: String,
    /** Availability zone of this host. */
    val availabilityZone: String,
    /** Backend servers of this region that accept new work. */
    val backendServers: List<BackendServerState> = emptyList(),
    /** Other reachable regions, by name. */
    val otherRegions: Map<String, RemoteRegion> = emptyMap(),
    /** Cost of one second of one slot by service and region, in millionths. */
    val costMicros: Map<String, Map<String, Long>> = emptyMap(),
    /** Maximum share of requests that may be forwarded to other regions, in thousandths. */
    val sentAwayPermille: Long = 0,
    /** Rate limit of this host for each cold backend server by name, in requests per second; 0 if not listed. */
    val coldRatesPerSecond: Map<String, Double> = emptyMap(),
    /** Hosts that share the turns at limited backend servers; by default this one alone. */
    val turnShare: TurnShare = TurnShare("", setOf("")),
    /** Maximum burst of retries of this host for one service; null to use that of the scheduler settings. */
    val maxRetryBurst: Long? = null,
    /** Number of entry hosts of this region, which share its backend servers; 0 when it is not known. */
    val regionHosts: Int = 0,
    /** Part of the backend servers of this region that this host may use; 0 when it is not known. */
    val ownPart: Double = if (regionHosts == 0) 0.0 else 1.0 / regionHosts,
    /** Memory of a backend server by service, in tokens of running requests; only of services that limit it. */
    val memoryTokens: Map<String, Long> = emptyMap(),
    /** Build time of the table, on the scheduler clock; null to use the time of the last call of the scheduler. */
    val builtAtMs: Long? = null,
)

/** State of another region as known to this host. */
public data class RemoteRegion(
    val name: String,
    val link: RegionLink,
    /** Load by service. */
    val services: Map<String, ServiceSummary>,
    /** Age of the summary when the table was built, in milliseconds. */
    val ageMs: Long,
    /** Measured share of the link in use, in thousandths. */
    val linkUsePermille: Long = 0,
    /** Software versions of the servers there, by service; without an entry they are not known. */
    val softwareVersions: Map<String, Set<String>> = emptyMap(),
)
