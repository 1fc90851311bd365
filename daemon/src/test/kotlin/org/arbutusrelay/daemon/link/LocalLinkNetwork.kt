package org.arbutusrelay.daemon.link

import org.arbutusrelay.schema.message.LinkFrame

/** A link network with no other hosts. */
public class LocalLinkNetwork(override val self: HostIdentity) : LinkNetwork {
    override fun send(hostName: String, frame: LinkFrame): Boolean = false

    override fun connected(): Map<String, HostIdentity> = emptyMap()

    override fun connect(hostName: String, address: String): Unit = Unit

    override fun addReceiver(receiver: FrameReceiver): Unit = Unit
}
