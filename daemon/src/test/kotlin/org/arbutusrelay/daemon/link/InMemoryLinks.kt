package org.arbutusrelay.daemon.link

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.arbutusrelay.schema.message.LinkFrame
import kotlin.random.Random

/**
 * In-memory links for tests, usable with virtual time: frames are delayed by [delayMs] in [scope].
 *
 * Each frame is encoded and decoded by the real codec. Frames between two hosts stay in order while their delay is
 * constant. A lost frame breaks the link, as with TCP.
 */
class InMemoryLinks(
    private val scope: CoroutineScope,
    private val random: Random = Random(1),
    var delayMs: (from: HostIdentity, to: HostIdentity) -> Long = { _, _ -> 1 },
    /** Probability that a frame is lost; its link is down for [reconnectMs] then. */
    var lossPerMille: Int = 0,
    private val reconnectMs: Long = 300,
) {
    private val hosts = HashMap<String, Endpoint>()
    private val blocked = HashSet<Set<String>>()
    private val linked = HashSet<Set<String>>()

    /** Number of frames lost so far. */
    var lostFrames: Int = 0
        private set

    /** Starts a host; replaces an existing host of the same name. */
    fun start(self: HostIdentity): LinkNetwork {
        stop(self.hostName)
        return Endpoint(self).also { hosts[self.hostName] = it }
    }

    /** Simulates a crash of a host: its links go down. */
    fun stop(hostName: String) {
        linked.filter { hostName in it }.forEach(::breakLink)
        hosts.remove(hostName)
    }

    /** Cuts or restores the links between two sets of hosts. */
    fun partition(left: Collection<String>, right: Collection<String>, isCut: Boolean) {
        for (a in left) {
            for (b in right) {
                val pair = setOf(a, b)
                if (isCut) {
                    breakLink(pair)
                } else if (blocked.remove(pair)) {
                    open(pair)
                }
                if (isCut) blocked += pair
            }
        }
    }

    private fun breakLink(pair: Set<String>) {
        if (!linked.remove(pair)) return
        val ends = pair.mapNotNull { hosts[it] }
        if (ends.size == 2) {
            ends[0].receivers.forEach { it.onLinkDown(ends[1].self) }
            ends[1].receivers.forEach { it.onLinkDown(ends[0].self) }
        }
    }

    private fun open(pair: Set<String>) {
        val ends = pair.mapNotNull { hosts[it] }
        if (ends.size < 2 || pair in blocked || ends.none { (pair - it.self.hostName).single() in it.targets }) return
        if (!linked.add(pair)) return
        ends[0].receivers.forEach { it.onLinkUp(ends[1].self) }
        ends[1].receivers.forEach { it.onLinkUp(ends[0].self) }
    }

    private inner class Endpoint(override val self: HostIdentity) : LinkNetwork {
        val receivers = ArrayList<FrameReceiver>()
        val targets = HashSet<String>()

        override fun send(hostName: String, frame: LinkFrame): Boolean {
            val pair = setOf(self.hostName, hostName)
            val to = hosts[hostName]
            if (pair !in linked || to == null || hosts[self.hostName] !== this) return false
            if (random.nextInt(1_000) < lossPerMille) {
                lostFrames++
                breakLink(pair)
                reconnectLater(pair)
                return true
            }
            deliver(to, checkNotNull(FrameCodec.decode(FrameCodec.encode(frame))), pair)
            return true
        }

        override fun connected(): Map<String, HostIdentity> = linked.filter { self.hostName in it }
            .mapNotNull { hosts[(it - self.hostName).single()]?.self }.associateBy { it.hostName }

        override fun connect(hostName: String, address: String) {
            val pair = setOf(self.hostName, hostName)
            if (targets.add(hostName)) {
                scope.launch {
                    while (hosts[self.hostName] === this@Endpoint) {
                        open(pair)
                        delay(reconnectMs)
                    }
                }
            }
        }

        override fun addReceiver(receiver: FrameReceiver) {
            receivers += receiver
        }

        private fun reconnectLater(pair: Set<String>) {
            scope.launch {
                delay(reconnectMs)
                open(pair)
            }
        }

        private fun deliver(to: Endpoint, frame: LinkFrame, pair: Set<String>) {
            scope.launch {
                delay(delayMs(self, to.self))
                if (pair in linked && hosts[to.self.hostName] === to) to.receivers.forEach { it.onFrame(self, frame) }
            }
        }
    }
}
