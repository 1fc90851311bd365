package org.arbutusrelay.relay.node

import org.arbutusrelay.core.stream.SoftwareVersions
import org.arbutusrelay.core.stream.StreamOrigin
import kotlin.test.Test
import kotlin.test.assertEquals

/** Streams of a new software version that are taken up at a host which has not heard of it. */
class StaleViewTest {
    private val states = listOf("s1", "s2", "s3")

    private class Case(
        val name: String,
        /** Version that is found, or null where the take-up must be refused. */
        val expected: String?,
        /** Hosts that are shown the first server of the new version. */
        val informed: List<String>,
        val disrupt: OriginHosts.() -> Unit,
        val afterStart: OriginHosts.() -> Unit = {},
    )

    private val cases = listOf(
        // A host that is cut off, and one that stands still and has not read what it was sent.
        Case("the entry host is cut off from the core", null, states + "e1", { cut("e2", states) }),
        Case("the entry host stands still and has unread messages", "v2", states + "e1", {}),
        Case("its questions reach the core, the replies do not reach it", null, states + "e1", {
            states.forEach { cutOneWay(it, listOf("e2")) }
        }),
        Case("it no longer has a link to the core", null, states + "e1", { targets = listOf("s1") }, { end("s1") }),
        Case("it has just started", "v2", states + "e1", {}, { startEntry("e2") }),
        Case("its state host is cut off from the others", null, listOf("s1", "e1"), {
            cut("s2", listOf("s1", "s3"))
            cut("e2", listOf("s1", "s3"))
            cut("e1", listOf("s2", "s3"))
        }),
        Case("its state host hears from one other only", "v2", listOf("s1", "e1"), {
            cut("s2", listOf("s3"))
            cut("e2", listOf("s1", "s3"))
            cut("e1", listOf("s2", "s3"))
        }),
        Case("its state host stands still and has unread messages", "v2", listOf("s1", "s3", "e1"), {
            cut("e2", listOf("s1", "s3"))
            cut("e1", listOf("s2"))
        }),
        Case("its state host has just started", "v2", states + "e1", { cut("e2", listOf("s1", "s3")) }, {
            startState("s2")
        }),
        Case("the state host that knows is cut off from all", null, listOf("s1", "e1"), {
            cut("s1", listOf("s2", "s3", "e2"))
            cut("e1", listOf("s2", "s3"))
        }),
    )

    /** Guards against streams that go on at another version because their host has not heard of their own. */
    @Test
    fun `what a host has not heard is no knowledge`() {
        for (case in cases) {
            val hosts = OriginHosts(states)
            hosts.show("v1")
            hosts.loop.passMs(SoftwareVersions.LIFETIME_MS)
            hosts.show("v1")
            case.disrupt(hosts)
            hosts.show("v1", "v2", to = case.informed)
            hosts.client("e1").record("a", StreamOrigin("svc", "v2"))
            hosts.loop.passMs(100)
            hosts.end("e1")
            case.afterStart(hosts)
            assertEquals(case.expected, hosts.find("e2", "a"), case.name)
        }
    }

    /** Guards against take-ups that are refused although all state hosts know of one version only. */
    @Test
    fun `the version is concluded where every state host has heard of one only`() {
        class Conclusion(val name: String, val expected: String?, val disrupt: OriginHosts.() -> Unit)
        val conclusions = listOf(
            Conclusion("all are in touch", "v1") {},
            Conclusion("an entry host has just started", "v1") { startEntry("e2") },
            Conclusion("a state host is lost", null) { end("s3") },
            Conclusion("a state host does not reply", null) { cut("s3", listOf("s1", "s2", "e2")) },
            Conclusion("a version that one of them has seen left lately", null) {
                show("v1", "v2", to = listOf("s3"))
                show("v1")
            },
        )
        for (case in conclusions) {
            val hosts = OriginHosts(states)
            hosts.show("v1")
            hosts.loop.passMs(SoftwareVersions.LIFETIME_MS)
            hosts.show("v1")
            case.disrupt(hosts)
            for (attemptId in listOf("unknown", null)) {
                assertEquals(case.expected, hosts.find("e2", attemptId), "${case.name}, $attemptId")
            }
        }
    }

    /** Guards against streams that wait for a question although their servers state no version. */
    @Test
    fun `streams of servers without a version are not looked up`() {
        val hosts = OriginHosts(states)
        hosts.show("")
        states.forEach(hosts::end)
        assertEquals("", hosts.find("e2", "unknown"))
    }
}
