package org.arbutusrelay.relay.node

import org.arbutusrelay.core.site.SiteStateMachine
import org.arbutusrelay.daemon.link.FrameReceiver
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.daemon.site.SiteView
import org.arbutusrelay.daemon.site.StreamOriginService
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.LinkFrame

/** Entry hosts `e1` and `e2` and [states], with what they know of the origins of streams, in virtual time. */
internal class OriginHosts(private val states: List<String> = listOf("s1", "s2")) {
    val loop = VirtualLoop()
    private val nodes = HashMap<String, FrameReceiver>()
    private val services = HashMap<String, StreamOriginService>()
    private val clients = HashMap<String, StreamOriginClient>()
    private val cuts = HashSet<Pair<String, String>>()

    /** State hosts that entry hosts report to. */
    var targets = states

    /** Number of frames that told of streams. */
    var frames = 0
        private set

    init {
        startAll()
    }

    fun client(name: String): StreamOriginClient = clients.getValue(name)

    fun startAll() {
        startStates()
        startEntries()
    }

    fun startStates(): Unit = states.forEach(::startState)

    fun startEntries(): Unit = ENTRIES.forEach(::startEntry)

    fun startState(name: String) {
        services[name] = StreamOriginService(Links(name), loop::nowMs, loop::nowMs) { states.toSet() }
            .also { nodes[name] = it }
        ENTRIES.filter { it in clients }.forEach { linkUp(it, name) }
    }

    fun startEntry(name: String) {
        clients[name] = StreamOriginClient(Links(name), { targets }, loop, loop::nowMs).also { nodes[name] = it }
    }

    fun end(name: String) {
        nodes.remove(name)
    }

    /** Drops the frames from [from] to each of [to] while the links stay up, as in the first seconds of a cut. */
    fun cutOneWay(from: String, to: List<String>) {
        cuts += to.map { from to it }
    }

    /** Drops the frames between [name] and [others] in both directions. */
    fun cut(name: String, others: List<String>) {
        cutOneWay(name, others)
        others.forEach { cutOneWay(it, listOf(name)) }
    }

    /** Ends all cuts; the links of the hosts concerned are opened anew. */
    fun heal() {
        val healed = cuts.toList()
        cuts.clear()
        healed.forEach { (from, to) -> if (from in clients) linkUp(from, to) }
    }

    /** Shows the hosts [to] a site whose servers have [versions]. */
    fun show(vararg versions: String, to: List<String> = ENTRIES + states) {
        val servers = versions.mapIndexed { index, version ->
            BackendServerState(
                "i$index", "svc", "hue", "hue-a", "10.0.0.$index:80", incarnation = 0, 1, 8, emptyList(), emptyList(),
                "", 0, 0, false, 3_000, softwareVersion = version,
            )
        }
        val view = SiteView(SiteStateMachine.EMPTY, emptyList(), servers, loop.nowMs)
        to.forEach {
            services[it]?.onView(view)
            clients[it]?.onView(view)
        }
    }

    /** Returns the version at which [attemptId] began as [host] finds it, or null. */
    fun find(host: String, attemptId: String?): String? {
        val results = ArrayList<String?>()
        client(host).find(attemptId, "svc") { results += it?.softwareVersion }
        loop.passMs(StreamOriginClient.REPLY_MS)
        return results.single()
    }

    private fun linkUp(entry: String, state: String) {
        nodes[entry]?.onLinkUp(HostIdentity(state, "hue", "hue-a", 1))
    }

    private inner class Links(name: String) : LinkNetwork {
        override val self = HostIdentity(name, "hue", "hue-a", 1)

        override fun send(hostName: String, frame: LinkFrame): Boolean {
            if (frame.streamOrigins != null) frames++
            if (self.hostName to hostName !in cuts) nodes[hostName]?.onFrame(self, frame)
            return hostName in nodes
        }

        override fun connected() = nodes.keys.associateWith { HostIdentity(it, "hue", "hue-a", 1) }

        override fun connect(hostName: String, address: String) = Unit

        override fun addReceiver(receiver: FrameReceiver) = Unit
    }

    private companion object {
        val ENTRIES = listOf("e1", "e2")
    }
}
