package org.arbutusrelay.daemon.link

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.arbutusrelay.schema.message.LinkFrame
import kotlin.random.Random

/**
 * Links in memory for tests, usable with virtual time: frames are delayed by `delay` in [scope].
 *
 * Each frame passes the real codec. Frames of a pair keep their order while the delay of the pair is constant. A lost
 * frame breaks the link, as with TCP.
 */
class InMemoryLinks(
    private val scope: CoroutineScope,
    private val random: Random = Random(1),
    var delayMs: (from: HostIdentity, to: HostIdentity) -> Long = { _, _ -> 1 },
    /** Chance that a frame is lost, which breaks its link until [reconnectMs] later. */
    var lossPerMille: Int = 0,
    private val reconnectMs: Long = 300,
) {
    private val hosts = HashMap<String, Endpoint>()
    private val blocked = HashSet<Set<String>>()
    private val up = HashSet<Set<String>>()

    /** Frames lost so far. */
    var lost: Int = 0
        private set

    /** Starts a host; a host of the same name is replaced. */
    fun start(self: HostIdentity): LinkNetwork {
        stop(self.hostName)
        return Endpoint(self).also { hosts[self.hostName] = it }
    }

    /** Ends a host as a crash does: its links go down. */
    fun stop(hostName: String) {
        up.filter { hostName in it }.forEach(::breakLink)
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
        if (!up.remove(pair)) return
        val ends = pair.mapNotNull { hosts[it] }
        if (ends.size == 2) {
            ends[0].receivers.forEach { it.onLinkDown(ends[1].self) }
            ends[1].receivers.forEach { it.onLinkDown(ends[0].self) }
        }
    }

    private fun open(pair: Set<String>) {
        val ends = pair.mapNotNull { hosts[it] }
        if (ends.size < 2 || pair in blocked || ends.none { (pair - it.self.hostName).single() in it.wanted }) return
        if (!up.add(pair)) return
        ends[0].receivers.forEach { it.onLinkUp(ends[1].self) }
        ends[1].receivers.forEach { it.onLinkUp(ends[0].self) }
    }

    private inner class Endpoint(override val self: HostIdentity) : LinkNetwork {
        val receivers = ArrayList<FrameReceiver>()
        val wanted = HashSet<String>()

        override fun send(hostName: String, frame: LinkFrame): Boolean {
            val pair = setOf(self.hostName, hostName)
            val to = hosts[hostName]
            if (pair !in up || to == null || hosts[self.hostName] !== this) return false
            if (random.nextInt(1_000) < lossPerMille) {
                lost++
                breakLink(pair)
                retry(pair)
                return true
            }
            deliver(to, checkNotNull(FrameCodec.decode(FrameCodec.encode(frame))), pair)
            return true
        }

        override fun connected(): Map<String, HostIdentity> = up.filter { self.hostName in it }
            .mapNotNull { hosts[(it - self.hostName).single()]?.self }.associateBy { it.hostName }

        override fun connect(hostName: String, address: String) {
            val pair = setOf(self.hostName, hostName)
            if (wanted.add(hostName)) {
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

        private fun retry(pair: Set<String>) {
            scope.launch {
                delay(reconnectMs)
                open(pair)
            }
        }

        private fun deliver(to: Endpoint, frame: LinkFrame, pair: Set<String>) {
            scope.launch {
                delay(delayMs(self, to.self))
                if (pair in up && hosts[to.self.hostName] === to) to.receivers.forEach { it.onFrame(self, frame) }
            }
        }
    }
}
