package org.arbutusrelay.relay.backend

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec
import jdk.net.ExtendedSocketOptions
import java.net.InetSocketAddress

/**
 * Connections to backend servers and to hosts of other regions, kept for the next request.
 *
 * Everything runs on one [loop]. The connection that was used last is used first, so that spare ones time out.
 */
internal class BackendPool(private val loop: EventLoop, private val nowMs: () -> Long) {
    private val idle = HashMap<String, ArrayDeque<BackendConnection>>()

    /** Sends [request] to [address], on a kept connection or a new one. */
    fun call(address: String, request: BackendRequest, listener: BackendListener): BackendCall {
        val kept = takeIdle(address)
        if (kept != null) {
            kept.send(request, listener)
            return kept
        }
        return PendingCall(address, request, listener).apply { connect() }
    }

    /** Closes the idle connections to addresses that are not among [addresses]. */
    fun retain(addresses: Set<String>) {
        val gone = idle.keys.filter { it !in addresses }
        gone.forEach { address -> idle.remove(address)?.toList()?.forEach { it.close() } }
    }

    private fun takeIdle(address: String): BackendConnection? {
        val connections = idle[address] ?: return null
        while (true) {
            val connection = connections.removeLastOrNull() ?: return null
            if (connection.isUsable()) return connection
            connection.close()
        }
    }

    private fun bootstrap(): Bootstrap = Bootstrap()
        .group(loop)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_S)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_S)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .handler(object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) = Unit
        })

    private inner class PendingCall(
        private val address: String,
        private val request: BackendRequest,
        private val listener: BackendListener,
    ) : BackendCall {
        private var connection: BackendConnection? = null
        private var isCancelled = false

        fun connect() {
            val port = address.substringAfterLast(':').toInt()
            val future = bootstrap().connect(InetSocketAddress(address.substringBeforeLast(':'), port))
            future.addListener(
                ChannelFutureListener {
                    when {
                        isCancelled -> it.channel().close()
                        it.isSuccess -> open(it.channel())
                        else -> listener.onFailure(CallFailure.NOT_CONNECTED)
                    }
                },
            )
        }

        override fun cancel() {
            isCancelled = true
            connection?.cancel()
        }

        override fun setReading(isReading: Boolean) {
            connection?.setReading(isReading)
        }

        private fun open(channel: Channel) {
            val opened = BackendConnection(channel, nowMs, ::onIdle, ::onClosed)
            channel.pipeline().addLast(HttpClientCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES), opened)
            connection = opened
            opened.send(request, listener)
        }

        private fun onIdle(connection: BackendConnection) {
            idle.getOrPut(address) { ArrayDeque() }.addLast(connection)
        }

        private fun onClosed(connection: BackendConnection) {
            idle[address]?.remove(connection)
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 1_000
        const val MAX_LINE_BYTES = 4_096
        const val MAX_HEADER_BYTES = 32_768
        const val MAX_CHUNK_BYTES = 16_384

        // A connection that went silent without a reset is found after about four seconds.
        const val KEEP_ALIVE_IDLE_S = 2
        const val KEEP_ALIVE_INTERVAL_S = 1
        const val KEEP_ALIVE_PROBES = 2
    }
}
