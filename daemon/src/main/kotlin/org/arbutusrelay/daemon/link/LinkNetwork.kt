package org.arbutusrelay.daemon.link

import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.LinkFrame

/** Links from this daemon to other daemons. */
public interface LinkNetwork {
    /** Identity that this process presents in the handshake. */
    public val self: HostIdentity

    /**
     * Queues [frame] for the host named [hostName].
     *
     * Never blocks; returns false if the link is down or its queue is full. True means only that the frame was queued,
     * not that it was delivered. Frames queued on one connection are delivered in order or not at all.
     */
    public fun send(hostName: String, frame: LinkFrame): Boolean

    /** Queues [frame] for each host in [hostNames], as [send] does. */
    public fun sendAll(hostNames: Collection<String>, frame: LinkFrame): Unit = hostNames.forEach { send(it, frame) }

    /** Returns the identity of each connected host, with its announced process epoch, by host name. */
    public fun connected(): Map<String, HostIdentity>

    /** Connects to [address] and keeps the link open; reconnects with exponential backoff. */
    public fun connect(hostName: String, address: String)

    /** Registers a receiver of all incoming frames and link changes. Receivers must not block. */
    public fun addReceiver(receiver: FrameReceiver)
}

/** Receives incoming frames and link state changes. */
public interface FrameReceiver {
    /** Called for each frame, in the order in which its connection received it. */
    public fun onFrame(from: HostIdentity, frame: LinkFrame)

    /** Called after a link is established. */
    public fun onLinkUp(host: HostIdentity): Unit = Unit

    /** Called after a link is closed. */
    public fun onLinkDown(host: HostIdentity): Unit = Unit
}

/** Identity of one daemon process. */
public data class HostIdentity(
    val hostName: String,
    val region: String,
    val availabilityZone: String,
    /** Process epoch, generated at random at start. */
    val epoch: Long,
) {
    /** Returns the host state published at start; other hosts open links to [address]. */
    public fun initialState(address: String, isStateHost: Boolean): HostState = HostState(
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
