package org.arbutusrelay.relay.ingress

import io.netty.bootstrap.ServerBootstrap
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
    .childHandler(object : ChannelInitializer<Channel>() {
        override fun initChannel(child: Channel) = initPipeline(child.pipeline())
    })
    .bind(InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt()))
    .sync()
    .channel()

/** SYN packets that exceed the accept queue are dropped, and clients resend them only after seconds. */
private const val ACCEPT_BACKLOG = 2_048
