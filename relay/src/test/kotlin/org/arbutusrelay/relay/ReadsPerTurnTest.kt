package org.arbutusrelay.relay

import io.netty.channel.EventLoop
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.DefaultHttpHeaders
import org.arbutusrelay.core.relay.EmbeddedHead
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import org.arbutusrelay.relay.backend.BackendHead
import org.arbutusrelay.relay.backend.BackendListener
import org.arbutusrelay.relay.backend.BackendPool
import org.arbutusrelay.relay.backend.BackendRequest
import org.arbutusrelay.relay.backend.CallFailure
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertTrue

class ReadsPerTurnTest {
    /** Counts the bytes between two runs of a task that is always due; confined to the event loop. */
    private class Turns(private val loop: EventLoop) : BackendListener {
        private var turnBytes = 0
        private var totalBytes = 0L
        var maxTurnBytes = 0
            private set
        val ended = CountDownLatch(1)
        override val isFromHost: Boolean = false
        override val isEventStream: Boolean = false

        fun tick() {
            maxTurnBytes = maxOf(maxTurnBytes, turnBytes)
            turnBytes = 0
            if (totalBytes < TOTAL_BYTES) loop.execute(::tick) else ended.countDown()
        }

        override fun onBody(bytes: ByteArray) {
            turnBytes += bytes.size
            totalBytes += bytes.size
        }

        override fun matchesRequest(head: BackendHead, isReused: Boolean): Boolean = true

        override fun onHead(head: BackendHead): Boolean = true

        override fun namesRequest(name: String): Boolean = false

        override fun onSecondResponse(head: EmbeddedHead) = Unit

        override fun onSecondBody(bytes: ByteArray) = Unit

        override fun onComplete() = Unit

        override fun onFailure(failure: CallFailure) = ended.countDown()
    }

    /** Guards against timers and other connections that wait for a server that never pauses. */
    @Test
    fun `a connection gives way after a bounded number of bytes`() {
        val group = NioEventLoopGroup(1)
        val loop = group.next()
        val server = ScriptedServer { socket, _, _ ->
            socket.write("HTTP/1.1 200 OK\r\n\r\n")
            while (true) socket.write("x".repeat(1 shl 20))
        }
        try {
            val turns = Turns(loop)
            val request = BackendRequest("GET", "/", DefaultHttpHeaders(), ByteArray(0), "r", Long.MAX_VALUE / 2)
            loop.submit {
                BackendPool(loop) { 0 }.call(server.address, request, turns)
                turns.tick()
            }.sync()
            assertTrue(turns.ended.await(RelayFixture.TIMEOUT_MS.toLong(), TimeUnit.MILLISECONDS))
            val maxBytes = loop.submit<Int> { turns.maxTurnBytes }.get()
            assertTrue(maxBytes <= BackendPool.MAX_BYTES_PER_TURN, "$maxBytes bytes in one turn")
        } finally {
            server.close()
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
        }
    }

    private companion object {
        const val TOTAL_BYTES = 64L shl 20
    }
}
