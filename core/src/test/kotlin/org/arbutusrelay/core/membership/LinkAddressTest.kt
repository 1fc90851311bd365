package org.arbutusrelay.core.membership

import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.schema.message.Heartbeat
import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.RegionSummary
import org.arbutusrelay.schema.settings.PeerSettings
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against links between regions that use an announced address instead of the address in the settings. */
class LinkAddressTest {
    private val peers = listOf(
        PeerSettings("near", "hue", "hue-b", "192.0.2.12:7000"),
        PeerSettings("far", "danang", "danang-a", "192.0.2.21:7000"),
    )
    private val node = MembershipNode(host("self", "hue", "192.0.2.11:7000"), peers, Invariants())

    @Test
    fun `settings take precedence for hosts of other regions and announcements within the region`() {
        node.linkUp("near", "hue", "hue-b", epoch = 1)
        node.linkUp("far", "danang", "danang-a", epoch = 1)
        val heartbeat = Heartbeat(host("near", "hue", "192.0.2.99:7000"), listOf(), listOf())
        node.receive("near", LinkFrame(heartbeat = heartbeat), 1)
        val announced = listOf(host("far", "danang", "10.0.0.1:7000"), host("new", "danang", "10.0.0.2:7000"))
        node.receive("far", LinkFrame(regionSummary = RegionSummary("danang", 1, announced, listOf(), 1)), 1)
        val expected = mapOf("near" to "192.0.2.99:7000", "far" to "192.0.2.21:7000", "new" to "10.0.0.2:7000")
        assertEquals(expected, node.wantedLinks(1))
    }

    private fun host(name: String, region: String, address: String) = HostState(
        hostName = name,
        region = region,
        availabilityZone = "$region-a",
        epoch = 1,
        version = 1,
        address = address,
        callerAddress = "http://$name",
        manifestNumber = 1,
        loadPermille = 0,
        isLeaving = false,
        isStateHost = true,
        startedAtMs = 1,
    )
}
