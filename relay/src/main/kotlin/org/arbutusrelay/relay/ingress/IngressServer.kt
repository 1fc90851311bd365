package org.arbutusrelay.relay.ingress

import io.netty.channel.Channel
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpServerCodec

/**
 * Accepts HTTP/1.1 connections from callers or from other hosts.
 *
 * It does not use Javalin: a servlet container detects a disconnected caller only on a write, and it normalizes or
 * rejects some paths, whereas backend servers must receive the path as it was sent.
 */
internal class IngressServer(
    private val group: EventLoopGroup,
    private val options: IngressOptions,
    private val service: IngressService,
    private val isForwarded: Boolean,
) {
    private var channel: Channel? = null

    /** Listens on [address]; throws when it cannot be bound. */
    fun start(address: String) {
        channel = group.listen(address) { pipeline ->
            val codec = HttpServerCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES)
            val handler = IngressHandler(isForwarded, options, service)
            pipeline.addLast(handler.byteListener, codec, handler)
        }
    }

    /** Stops accepting connections. */
    fun stop() {
        channel?.close()
    }

    private companion object {
        const val MAX_LINE_BYTES = 16_384
        const val MAX_HEADER_BYTES = 32_768
        const val MAX_CHUNK_BYTES = 16_384
    }
}
