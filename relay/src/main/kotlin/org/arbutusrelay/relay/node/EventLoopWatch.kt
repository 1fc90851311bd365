package org.arbutusrelay.relay.node

import io.netty.channel.EventLoop
import org.arbutusrelay.daemon.ProcessFailure

/**
 * Ends the process when the thread of [loop] ends before [stop] is called.
 *
 * Without its event loop a host accepts no request, while the operating system still accepts connections to its port.
 */
internal class EventLoopWatch(private val loop: EventLoop, private val processFailure: ProcessFailure) {
    @Volatile
    private var isStopped = false

    fun start() {
        loop.terminationFuture().addListener {
            if (!isStopped) processFailure.onPartEnded("the event loop", "its thread has ended")
        }
    }

    fun stop() {
        isStopped = true
    }
}
