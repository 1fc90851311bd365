package org.arbutusrelay.core.routing

import org.arbutusrelay.core.request.RequestId
import org.arbutusrelay.schema.manifest.RegionLink
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.ServiceSummary

/** Test data for the scheduler tests. */
internal object SchedulerFixture {
    fun server(
        name: String,
        capacity: Long = 4,
        running: Long = 0,
        incarnation: Long = 1,
        version: Long = 1,
        isLeaving: Boolean = false,
    ) = BackendServerState(
        name, "drafting", "hue", "hue-a", "http://$name", incarnation, version, capacity,
        emptyList(), emptyList(), "general", running, 0, isLeaving, 3_000,
    )

    fun table(vararg servers: BackendServerState, remotes: List<RemoteRegion> = emptyList(), sentAway: Long = 1_000) =
        RoutingTable("hue", "hue-a", servers.toList(), remotes.associateBy { it.name }, sentAwayPermille = sentAway)

    fun remote(name: String, running: Long = 0, capacity: Long = 100, ageMs: Long = 0, linkUse: Long = 0) =
        RemoteRegion(
            name,
            RegionLink("hue", name, 55, 1_500_000_000),
            mapOf("drafting" to ServiceSummary("drafting", 2, capacity, running, 0, 100)),
            ageMs,
            linkUse,
        )

    fun request(
        number: Long,
        deadlineMs: Long = 60_000,
        caller: String = "commune",
        priority: Int = 1,
        regions: List<String> = listOf("hue", "danang"),
    ) = RequestProfile(
        RequestId("hue-1", 1, number), caller, "drafting", "draft", priority, true, deadlineMs, regions,
        promptTokens = 100, responseTokens = 10,
    )
}
