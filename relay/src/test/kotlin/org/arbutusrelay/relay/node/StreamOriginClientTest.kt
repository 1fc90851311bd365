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

    /** Guards against streams that are unknown because their host was out of reach when a second version appeared. */
    @Test
    fun `streams of a single version are known before there is another`() {
        data class Case(val name: String, val lose: () -> Unit)
        val cases = listOf(
            Case("the host stands still") { hosts.cut("e1", states) },
            Case("the host is lost") { hosts.end("e1") },
            Case("the host is lost, and a state host starts again") {
                hosts.end("e1")
                hosts.startState("s1")
            },
            Case("all state hosts start again") {
                hosts.startStates()
                hosts.loop.passMs(1_000)
                hosts.end("e1")
            },
            Case("all state hosts start again one after the other") {
                for (state in states) {
                    hosts.startState(state)
                    hosts.loop.passMs(1_000)
                }
                hosts.end("e1")
            },
            Case("it was told to one state host only, and is asked of another") {
                hosts.startEntry("e1")
                hosts.startState("s2")
                hosts.cut("e2", listOf("s1"))
            },
        )
        for (case in cases) {
            hosts.heal()
            hosts.startAll()
            hosts.show("v1")
            hosts.loop.passMs(SoftwareVersions.LIFETIME_MS)
            hosts.show("v1")
            hosts.client("e1").record("a", StreamOrigin("svc", "v1"))
            hosts.loop.passMs(1_000)
            case.lose()
            hosts.show("v1", "v2", to = states + "e2")
            hosts.show("v2", to = states + "e2")
            assertEquals("v1", hosts.find("e2", "a"), case.name)
        }
    }

    /** Guards against streams that a host has begun while it was cut off, and that stay unknown. */
    @Test
    fun `a state host that is reached again is told the streams of the meantime`() {
        passUntilKnown()
        hosts.cut("e1", states)
        hosts.client("e1").record("a", StreamOrigin("svc", "v1"))
        hosts.loop.passMs(1_000)
        hosts.heal()
        hosts.loop.passMs(100)
        hosts.end("e1")
        assertEquals("v1", hosts.find("e2", "a"))
    }

    /** Guards against a frame for each stream while there is one version, and streams that are sent again. */
    @Test
    fun `the streams of a quarter of a second are sent together and once`() {
        passUntilKnown()
        hosts.loop.passMs(SoftwareVersions.LIFETIME_MS + 1)
        hosts.show("v1")
        hosts.loop.passMs(1_000)
        val before = hosts.frames
        for (number in 1..200) {
            hosts.client("e1").record("a$number", StreamOrigin("svc", "v1"))
            hosts.loop.passMs(5)
        }
        hosts.loop.passMs(1_000)
        hosts.show("v1")
        hosts.loop.passMs(1_000)
        assertEquals(4 * states.size, hosts.frames - before)
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
