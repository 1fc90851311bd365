package org.arbutusrelay.daemon

import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.core.routing.Placement
import org.arbutusrelay.core.routing.RequestProfile
import org.arbutusrelay.core.routing.RequestScheduler
import org.arbutusrelay.daemon.link.FrameReceiver
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.daemon.request.LocalRequestScheduler
import org.arbutusrelay.schema.message.LinkFrame
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors

/** In-memory links between the daemons of one test; [transform] may drop, duplicate or reorder frames. */
class FakeLinks {
    private val nodes = ConcurrentHashMap<String, Node>()

    @Volatile
    var transform: (LinkFrame) -> List<LinkFrame> = { listOf(it) }

    fun join(self: HostIdentity): Node = Node(self).also { nodes[self.hostName] = it }

    inner class Node(override val self: HostIdentity) : LinkNetwork {
        private val receivers = CopyOnWriteArrayList<FrameReceiver>()
        private val inbox = Executors.newSingleThreadExecutor { Thread(it).apply { isDaemon = true } }

        @Volatile
        var isUp = true

        override fun send(hostName: String, frame: LinkFrame): Boolean {
            val to = nodes[hostName]?.takeIf { it.isUp && isUp } ?: return false
            transform(frame).forEach { sent -> to.inbox.execute { to.receivers.forEach { it.onFrame(self, sent) } } }
            return true
        }

        override fun connected(): Map<String, HostIdentity> =
            if (isUp) nodes.filterValues { it !== this && it.isUp }.mapValues { it.value.self } else emptyMap()

        override fun connect(hostName: String, address: String) = Unit

        override fun addReceiver(receiver: FrameReceiver) {
            receivers += receiver
        }

        /** Closes the links of this node and notifies the other nodes. */
        fun disconnect() {
            isUp = false
            nodes.values.filter { it !== this }.forEach { other ->
                other.inbox.execute { other.receivers.forEach { it.onLinkDown(self) } }
            }
        }
    }
}

/** Forwards every request to [region] that may run there and was not forwarded before. */
class ForwardingScheduler(
    private val region: String,
    private val delegate: RequestScheduler = LocalRequestScheduler("hue", 10),
) : RequestScheduler by delegate {
    private var lastAttemptNumber = 1_000L

    override fun submit(profile: RequestProfile, nowMs: Long): Placement {
        if (profile.isForwarded || region !in profile.allowedRegions) return delegate.submit(profile, nowMs)
        val attempt = PlacedAttempt(profile, "", 0, "", ++lastAttemptNumber, nowMs, region = region)
        return Placement.Forward(attempt, region)
    }
}
