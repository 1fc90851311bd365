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
 * Opens [address], an IP address and a port; throws when it cannot be opened.
 *
 * [fill] adds the handlers of each connection to its pipeline.
 */
internal fun EventLoopGroup.listen(address: String, fill: (ChannelPipeline) -> Unit): Channel = ServerBootstrap()
    .group(this)
    .channel(NioServerSocketChannel::class.java)
    .option(ChannelOption.SO_BACKLOG, BACKLOG)
    .option(ChannelOption.SO_REUSEADDR, true)
    .childOption(ChannelOption.TCP_NODELAY, true)
    .childHandler(object : ChannelInitializer<Channel>() {
        override fun initChannel(child: Channel) = fill(child.pipeline())
    })
    .bind(InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt()))
    .sync()
    .channel()

/** Opening packets beyond the queue are dropped and come again only after seconds. */
private const val BACKLOG = 2_048
