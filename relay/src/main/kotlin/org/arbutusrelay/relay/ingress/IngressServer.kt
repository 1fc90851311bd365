package org.arbutusrelay.relay.ingress

import io.netty.channel.Channel
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpServerCodec

/**
 * Accepts HTTP/1.1 connections of callers or of other hosts.
 *
 * This path does not run on Javalin: a servlet container reports a caller that has left only when it writes to it, and
 * normalises or refuses some paths, while backend servers must get the path as it was sent.
 */
internal class IngressServer(
    private val group: EventLoopGroup,
    private val options: IngressOptions,
    private val service: IngressService,
    private val isForwarded: Boolean,
) {
    private var channel: Channel? = null

    /** Opens [address]; throws when it cannot be opened. */
    fun start(address: String) {
        channel = group.listen(address) { pipeline ->
            val codec = HttpServerCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES)
            pipeline.addLast(codec, IngressHandler(isForwarded, options, service))
        }
    }

    /** Accepts no more connections. */
    fun stop() {
        channel?.close()
    }

    private companion object {
        const val MAX_LINE_BYTES = 16_384
        const val MAX_HEADER_BYTES = 32_768
        const val MAX_CHUNK_BYTES = 16_384
    }
}
