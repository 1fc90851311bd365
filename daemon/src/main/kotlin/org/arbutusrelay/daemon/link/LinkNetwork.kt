package org.arbutusrelay.daemon.link

import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.LinkFrame

/** The links of this daemon to other daemons. */
public interface LinkNetwork {
    /** This process, as other daemons see it. */
    public val self: HostIdentity

    /**
     * Queues [frame] for the host named [hostName].
     *
     * Returns false without blocking when the link is down or its queue is full. True means that the frame was queued,
     * and not that it arrived. Frames that were queued on one connection arrive in order or not at all.
     */
    public fun send(hostName: String, frame: LinkFrame): Boolean

    /** Returns the hosts whose link is up, by name, with the process epoch that they announced. */
    public fun connected(): Map<String, HostIdentity>

    /** Adds an address to connect to; links that break are opened again with an exponential delay. */
    public fun connect(hostName: String, address: String)

    /** Adds a receiver of all incoming frames and of link changes. Receivers must not block. */
    public fun addReceiver(receiver: FrameReceiver)
}

/** Receives frames and link changes. */
public interface FrameReceiver {
    /** Called for each frame, in the order of its connection. */
    public fun onFrame(from: HostIdentity, frame: LinkFrame)

    /** Called when a link came up. */
    public fun onLinkUp(host: HostIdentity): Unit = Unit

    /** Called when a link went down. */
    public fun onLinkDown(host: HostIdentity): Unit = Unit
}

/** A process of the system. */
public data class HostIdentity(
    val hostName: String,
    val region: String,
    val availabilityZone: String,
    /** Process epoch, drawn at random at start. */
    val epoch: Long,
) {
    /** Returns what the process says of itself at its start; others reach its links at [address]. */
    public fun firstState(address: String, isStateHost: Boolean): HostState = HostState(
        hostName = hostName,
        region = region,
        availabilityZone = availabilityZone,
        epoch = epoch,
        version = 1,
        address = address,
        callerAddress = "",
        manifestNumber = 0,
        loadPermille = 0,
        isLeaving = false,
        isStateHost = isStateHost,
    )
}
