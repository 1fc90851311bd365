package org.arbutusrelay.relay.backend

import io.netty.bootstrap.Bootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.util.NetUtil
import jdk.net.ExtendedSocketOptions
import org.arbutusrelay.core.relay.RecentSends
import java.net.InetAddress
import java.net.InetSocketAddress

/**
 * Pool of connections to backend servers and to hosts of other regions.
 *
 * Confined to the event loop [loop]. Idle connections are reused in last-in, first-out order so that surplus ones time
 * out. No connection carries the same request twice.
 */
internal class BackendPool(private val loop: EventLoop, private val nowMs: () -> Long) {
    private val idle = HashMap<String, ArrayDeque<BackendConnection>>()
    private val recentSends = RecentSends()

    /** Sends [request] to [address] on an idle connection, or on a new one. */
    fun call(address: String, request: BackendRequest, listener: BackendListener): BackendCall {
        val isRepeated = recentSends.record(request.requestId, address, request.deadlineMs, nowMs())
        val pooled = if (isRepeated) null else acquireIdle(address)
        if (pooled != null) {
            pooled.send(request, listener)
            return pooled
        }
        return PendingCall(address, request, listener).apply { connect() }
    }

    /** Closes the idle connections to all addresses except [addresses]. */
    fun retain(addresses: Set<String>) {
        val removed = idle.keys.filter { it !in addresses }
        removed.forEach { address -> idle.remove(address)?.toList()?.forEach { it.close() } }
    }

    private fun acquireIdle(address: String): BackendConnection? {
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
        // A failed write must not discard a response that has arrived before the request was sent in full.
        .option(ChannelOption.AUTO_CLOSE, false)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_S)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_S)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .option(ChannelOption.RCVBUF_ALLOCATOR, boundedReads())
        .handler(object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) = Unit
        })

    /** A server that never pauses would otherwise take most of the time of the event loop. */
    private fun boundedReads() =
        AdaptiveRecvByteBufAllocator(
            MIN_READ_BYTES,
            FIRST_READ_BYTES,
            MAX_READ_BYTES,
        ).maxMessagesPerRead(READS_PER_TURN)

    /** Returns null if [address] is not an IP address and port; a host name would be resolved on the event loop. */
    private fun parseAddress(address: String): InetSocketAddress? {
        val port = address.substringAfterLast(':', "").toIntOrNull()?.takeIf { it in 1..MAX_PORT } ?: return null
        val ip = NetUtil.createByteArrayFromIpAddressString(address.substringBeforeLast(':')) ?: return null
        return InetSocketAddress(InetAddress.getByAddress(ip), port)
    }

    private inner class PendingCall(
        private val address: String,
        private val request: BackendRequest,
        private val listener: BackendListener,
    ) : BackendCall {
        private var connection: BackendConnection? = null
        private var isCancelled = false

        fun connect() {
            val remote = parseAddress(address) ?: return loop.execute {
                if (!isCancelled) listener.onFailure(CallFailure.NOT_CONNECTED)
            }
            bootstrap().connect(remote).addListener(
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

        override fun setAutoRead(isEnabled: Boolean) {
            connection?.setAutoRead(isEnabled)
        }

        private fun open(channel: Channel) {
            val decoder = BackendResponseDecoder()
            val newConnection = BackendConnection(channel, decoder, nowMs, ::onIdle, ::onClosed)
            channel.pipeline().addLast(decoder, HttpRequestEncoder(), newConnection)
            connection = newConnection
            newConnection.send(request, listener)
        }

        private fun onIdle(connection: BackendConnection) {
            idle.getOrPut(address) { ArrayDeque() }.addLast(connection)
        }

        private fun onClosed(connection: BackendConnection) {
            idle[address]?.remove(connection)
        }
    }

    companion object {
        /** Most bytes that are read from a connection before timers and other connections have their turn. */
        const val MAX_BYTES_PER_TURN = 64 * 1024

        private const val READS_PER_TURN = 2
        private const val MIN_READ_BYTES = 64
        private const val FIRST_READ_BYTES = 2_048
        private const val MAX_READ_BYTES = MAX_BYTES_PER_TURN / READS_PER_TURN
        private const val CONNECT_TIMEOUT_MS = 1_000
        private const val MAX_PORT = 65_535

        // Dead peers that send no reset are detected after about four seconds.
        private const val KEEP_ALIVE_IDLE_S = 2
        private const val KEEP_ALIVE_INTERVAL_S = 1
        private const val KEEP_ALIVE_PROBES = 2
    }
}
