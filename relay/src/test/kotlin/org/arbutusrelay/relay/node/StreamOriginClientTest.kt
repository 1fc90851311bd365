package org.arbutusrelay.relay.node

import org.arbutusrelay.core.site.SiteStateMachine
import org.arbutusrelay.core.stream.SoftwareVersions
import org.arbutusrelay.core.stream.StreamOrigin
import org.arbutusrelay.daemon.link.FrameReceiver
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.daemon.site.SiteView
import org.arbutusrelay.daemon.site.StreamOriginService
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.LinkFrame
import kotlin.test.Test
import kotlin.test.assertEquals

/** Two entry hosts and two state hosts; a stream that one entry host began is taken up at the other. */
class StreamOriginClientTest {
    private val loop = VirtualLoop()
    private val nodes = HashMap<String, FrameReceiver>()
    private var frames = 0
    private val states = listOf("s1", "s2")
    private var targets = states
    private val services = HashMap<String, StreamOriginService>()
    private val clients = HashMap<String, StreamOriginClient>()

    init {
        states.forEach(::startState)
        listOf("e1", "e2").forEach(::startEntry)
    }

    /** Guards against take-ups that are joined from two versions or refused although their version is known. */
    @Test
    fun `the origin is found as long as a host that knows it runs`() {
        data class Case(val name: String, val expected: String?, val asks: Boolean = true, val lose: () -> Unit)
        val cases = listOf(
            Case("the same host", "v1", asks = false) {},
            Case("the host that began it was lost", "v1") { startEntry("e1") },
            Case("all entry hosts were lost", "v1") { clients.keys.toList().forEach(::startEntry) },
            Case("and a state host", "v1") {
                clients.keys.toList().forEach(::startEntry)
                startState("s1")
            },
            Case("all hosts were lost", null) {
                clients.keys.toList().forEach(::startEntry)
                states.forEach(::startState)
            },
            Case("no state host replies", null) {
                startEntry("e1")
                states.forEach(nodes::remove)
            },
        )
        for (case in cases) {
            states.forEach(::startState)
            clients.keys.toList().forEach(::startEntry)
            passUntilKnown()
            client("e1").record("a", StreamOrigin("svc", "v1"))
            loop.passMs(100)
            case.lose()
            show("v1", "v2")
            assertEquals(case.expected, find(if (case.asks) "e2" else "e1", "a"), case.name)
            assertEquals(null, find("e2", "unknown"), case.name)
        }
    }

    /** Guards against streams that began before the first server of a second version appeared, and became unknown. */
    @Test
    fun `streams of a single version are told to the state hosts once there is another`() {
        loop.passMs(SoftwareVersions.LIFETIME_MS)
        show("v1")
        client("e1").record("a", StreamOrigin("svc", "v1"))
        loop.passMs(1_000)
        assertEquals(0, frames, "nothing is sent while there is one version")
        assertEquals("v1", find("e2", "a"))
        show("v1", "v2")
        loop.passMs(100)
        startEntry("e1")
        show("v2")
        assertEquals("v1", find("e2", "a"), "the servers of v1 have left")
    }

    /** Guards against streams that are forgotten because no state host was connected when they began. */
    @Test
    fun `streams are told to the state hosts once one is connected`() {
        passUntilKnown()
        targets = emptyList()
        client("e1").record("a", StreamOrigin("svc", "v1"))
        loop.passMs(100)
        targets = states
        show("v1", "v2")
        loop.passMs(100)
        startEntry("e1")
        assertEquals("v1", find("e2", "a"))
    }

    private fun passUntilKnown() {
        loop.passMs(SoftwareVersions.LIFETIME_MS)
        show("v1", "v2")
    }

    private fun client(name: String) = clients.getValue(name)

    private fun find(host: String, attemptId: String): String? {
        val results = ArrayList<String?>()
        client(host).find(attemptId, "svc") { results += it?.softwareVersion }
        loop.passMs(StreamOriginClient.REPLY_MS)
        return results.single()
    }

    private fun show(vararg versions: String) {
        val servers = versions.mapIndexed { index, version ->
            BackendServerState(
                "i$index", "svc", "hue", "hue-a", "10.0.0.$index:80", incarnation = 0, 1, 8, emptyList(), emptyList(),
                "", 0, 0, false, 3_000, softwareVersion = version,
            )
        }
        val view = SiteView(SiteStateMachine.EMPTY, emptyList(), servers, loop.nowMs)
        services.values.forEach { it.onView(view) }
        clients.values.forEach { it.onView(view) }
    }

    private fun startState(name: String) {
        services[name] = StreamOriginService(Links(name), loop::nowMs, loop::nowMs).also { nodes[name] = it }
    }

    private fun startEntry(name: String) {
        clients[name] =
            StreamOriginClient(Links(name), { targets }, loop, loop::nowMs, loop::nowMs).also { nodes[name] = it }
    }

    private inner class Links(name: String) : LinkNetwork {
        override val self = HostIdentity(name, "hue", "hue-a", 1)

        override fun send(hostName: String, frame: LinkFrame): Boolean {
            if (frame.streamOrigins != null) frames++
            nodes[hostName]?.onFrame(self, frame)
            return true
        }

        override fun connected() = nodes.keys.associateWith { HostIdentity(it, "hue", "hue-a", 1) }

        override fun connect(hostName: String, address: String) = Unit

        override fun addReceiver(receiver: FrameReceiver) = Unit
    }
}
