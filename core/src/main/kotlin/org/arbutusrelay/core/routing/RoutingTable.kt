package org.arbutusrelay.core.routing

import org.arbutusrelay.schema.manifest.RegionLink
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.ServiceSummary

/** The read-only state that routing decides by; a new one replaces it whenever membership or the manifest changes. */
public data class RoutingTable(
    /** Region of this host. */
    val region: String,
    /** Availability zone of this host. */
    val availabilityZone: String,
    /** Backend servers of this region that may take new work. */
    val backendServers: List<BackendServerState> = emptyList(),
    /** Other regions that can be reached, by name. */
    val otherRegions: Map<String, RemoteRegion> = emptyMap(),
    /** Cost of one second of one slot by service and region, in millionths. */
    val costMicros: Map<String, Map<String, Long>> = emptyMap(),
    /** Largest share of requests that may be sent to other regions, in thousandths. */
    val sentAwayPermille: Long = 0,
    /** Requests a second that this host may send to each cold backend server, by name; 0 when it is not named. */
    val coldRatesPerSecond: Map<String, Double> = emptyMap(),
    /** Retries for one service that this host may give at once; null when the scheduler's settings say it. */
    val maxRetryBurst: Long? = null,
    /** When the table was built, on the scheduler's clock; null when it is the time of the scheduler's last call. */
    val builtAtMs: Long? = null,
)

/** What this host knows of another region. */
public data class RemoteRegion(
    val name: String,
    val link: RegionLink,
    /** Load by service. */
    val services: Map<String, ServiceSummary>,
    /** Age of the summary, in milliseconds, when the table was built. */
    val ageMs: Long,
    /** Measured share of the link in use, in thousandths. */
    val linkUsePermille: Long = 0,
)
