package org.arbutusrelay.daemon

import kotlinx.serialization.json.Json
import org.arbutusrelay.core.routing.ScheduledServer
import org.arbutusrelay.schema.api.BackendServerList
import org.arbutusrelay.schema.api.BackendServerView.State
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against operators seeing a backend server as available while the scheduler limits the requests to it. */
class BackendServerViewTest {
    @Test
    fun `operators see the scheduler state of each backend server`() {
        val scheduled = mapOf(
            "open" to ScheduledServer(3, isOpen = true, isRamping = true),
            "ramping" to ScheduledServer(2, isOpen = false, isRamping = true),
            "plain" to ScheduledServer(1, isOpen = false, isRamping = false),
        )
        TestDaemon(schedulerView = { name, _ -> scheduled[name] }).use { daemon ->
            (scheduled.keys + "unused").forEach { daemon.announce(it, "board", "http://127.0.0.1:1") }
            val body = daemon.send("GET", "/v1/backend-servers", "", "Authorization" to "Bearer operator").body()
            val views = Json.decodeFromString(BackendServerList.serializer(), body).backendServers
            val expected = mapOf(
                "open" to (3L to State.OPEN),
                "ramping" to (2L to State.RAMPING),
                "plain" to (1L to State.AVAILABLE),
                "unused" to (0L to State.AVAILABLE),
            )
            assertEquals(expected, views.associate { it.name to (it.sentSinceReport to it.state) })
        }
    }
}
