package org.arbutusrelay.relay

import io.netty.channel.nio.NioEventLoopGroup
import org.arbutusrelay.daemon.EXIT_PART_ENDED
import org.arbutusrelay.daemon.ProcessFailure
import org.arbutusrelay.relay.node.EventLoopWatch
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals

class EventLoopWatchTest {
    /** Guards against an entry host that runs on without the thread that handles its requests. */
    @Test
    fun `the process ends with its event loop unless it is stopping`() {
        data class Case(val isStopped: Boolean, val expected: List<Int>)
        for (case in listOf(Case(isStopped = false, listOf(EXIT_PART_ENDED)), Case(isStopped = true, emptyList()))) {
            val codes = CopyOnWriteArrayList<Int>()
            val group = NioEventLoopGroup(1)
            val loop = group.next()
            val watch = EventLoopWatch(loop, ProcessFailure { codes += it })
            watch.start()
            if (case.isStopped) watch.stop()
            loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync()
            // Listeners of the future run one after the other, in the order in which they were added.
            loop.terminationFuture().addListener { codes += LAST }.sync()
            while (LAST !in codes) Thread.onSpinWait()
            assertEquals(case.expected + LAST, codes.toList(), "$case")
        }
    }

    private companion object {
        const val LAST = -1
    }
}
