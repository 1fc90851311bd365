package org.arbutusrelay.relay.ingress

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ChannelPipeline
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import java.net.InetSocketAddress

/**
 * Listens on [address], an IP address and a port; throws when it cannot be bound.
 *
 * [initPipeline] adds the handlers of each connection to its pipeline.
 */
internal fun EventLoopGroup.listen(
    address: String,
    initPipeline: (ChannelPipeline) -> Unit,
): Channel = ServerBootstrap()
    .group(this)
    .channel(NioServerSocketChannel::class.java)
    .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
    .option(ChannelOption.SO_REUSEADDR, true)
    .childOption(ChannelOption.TCP_NODELAY, true)
    .childOption(ChannelOption.RCVBUF_ALLOCATOR, readToEnd())
    .childHandler(object : ChannelInitializer<Channel>() {
        override fun initChannel(child: Channel) = initPipeline(child.pipeline())
    })
    .bind(InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt()))
    .sync()
    .channel()

/** SYN packets that exceed the accept queue are dropped, and clients resend them only after seconds. */
private const val ACCEPT_BACKLOG = 2_048

/**
 * Reads on after a short read, until nothing more or the close of the peer has been read.
 *
 * Otherwise the close is read in the next pass of the event loop, after the request before it has been handled.
 */
private fun readToEnd() = AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS)

/** Reads of one connection before the others have their turn, as many as by default; an own allocator reads once. */
private const val MAX_READS = 16
