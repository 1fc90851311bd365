package org.arbutusrelay.relay.node

import org.arbutusrelay.core.stream.SoftwareVersions
import org.arbutusrelay.core.stream.StreamOrigin
import kotlin.test.Test
import kotlin.test.assertEquals

/** Two entry hosts and two state hosts; a stream that one entry host began is taken up at the other. */
class StreamOriginClientTest {
    private val states = listOf("s1", "s2")
    private val hosts = OriginHosts(states)

    /** Guards against take-ups that are joined from two versions or refused although their version is known. */
    @Test
    fun `the origin is found as long as a host that knows it runs`() {
        data class Case(val name: String, val expected: String?, val asks: Boolean = true, val lose: () -> Unit)
        val cases = listOf(
            Case("the same host", "v1", asks = false) {},
            Case("the host that began it was lost", "v1") { hosts.startEntry("e1") },
            Case("all entry hosts were lost", "v1") { hosts.startEntries() },
            Case("and a state host", "v1") {
                hosts.startEntries()
                hosts.startState("s1")
            },
            Case("all hosts were lost", null) {
                hosts.startEntries()
                hosts.startStates()
            },
            Case("no state host replies", null) {
                hosts.startEntry("e1")
                states.forEach(hosts::end)
            },
        )
        for (case in cases) {
            hosts.startAll()
            passUntilKnown()
            hosts.client("e1").record("a", StreamOrigin("svc", "v1"))
            hosts.loop.passMs(100)
            case.lose()
            hosts.show("v1", "v2")
            assertEquals(case.expected, hosts.find(if (case.asks) "e2" else "e1", "a"), case.name)
            assertEquals(null, hosts.find("e2", "unknown"), case.name)
        }
    }

    /** Guards against streams that began before the first server of a second version appeared, and became unknown. */
    @Test
    fun `streams of a single version are told to the state hosts once there is another`() {
        hosts.loop.passMs(SoftwareVersions.LIFETIME_MS)
        hosts.show("v1")
        hosts.client("e1").record("a", StreamOrigin("svc", "v1"))
        hosts.loop.passMs(1_000)
        assertEquals(0, hosts.frames, "nothing is sent while there is one version")
        assertEquals("v1", hosts.find("e2", "a"))
        hosts.show("v1", "v2")
        hosts.loop.passMs(100)
        hosts.startEntry("e1")
        hosts.show("v2")
        assertEquals("v1", hosts.find("e2", "a"), "the servers of v1 have left")
    }

    /** Guards against streams that are forgotten because no state host was connected when they began. */
    @Test
    fun `streams are told to the state hosts once one is connected`() {
        passUntilKnown()
        hosts.targets = emptyList()
        hosts.client("e1").record("a", StreamOrigin("svc", "v1"))
        hosts.loop.passMs(100)
        hosts.targets = states
        hosts.show("v1", "v2")
        hosts.loop.passMs(100)
        hosts.startEntry("e1")
        assertEquals("v1", hosts.find("e2", "a"))
    }

    private fun passUntilKnown() {
        hosts.loop.passMs(SoftwareVersions.LIFETIME_MS)
        hosts.show("v1", "v2")
    }
}
