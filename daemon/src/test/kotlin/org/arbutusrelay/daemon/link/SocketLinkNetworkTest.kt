package org.arbutusrelay.daemon.link

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.arbutusrelay.schema.message.ForwardChunk
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.ManifestSynced
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class SocketLinkNetworkTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val nets = ArrayList<SocketLinkNetwork>()

    @AfterTest
    fun stop() {
        nets.forEach { it.close() }
        scope.cancel()
    }

    @Test
    fun `frames of one link arrive in the order of sending`() = runBlocking {
        val (a, b) = net("a") to net("b")
        val seen = record(b)
        a.connect("b", b.address())
        until { "b" in a.connected() && "a" in b.connected() }
        repeat(1_000) { a.sendRetrying("b", synced(it.toLong())) }
        until { seen.size == 1_000 }
        assertEquals((0L until 1_000).toList(), seen.map { it.manifestSynced?.number })
    }

    @Test
    fun `both dialling at once leaves one connection for each pair`() = runBlocking {
        repeat(20) { round ->
            val (a, b) = net("a$round") to net("b$round")
            val (atA, atB) = a.address() to b.address()
            a.connect(b.self.hostName, atB)
            b.connect(a.self.hostName, atA)
            until { a.connected().size == 1 && b.connected().size == 1 }
            val seen = record(b)
            until { a.send(b.self.hostName, synced(7)) && seen.isNotEmpty() }
        }
    }

    @Test
    fun `a wrong secret or version is refused on both sides`() = runBlocking {
        val cases = listOf(
            net("x", secret = "other") to LinkClosure.WRONG_SECRET,
            net("y", options = LinkOptions(protocolVersion = 2)) to LinkClosure.WRONG_VERSION,
        )
        val host = net("host")
        val address = host.address()
        for ((stranger, closure) in cases) {
            stranger.connect("host", address)
            until { host.closures(closure) > 0 }
            assertTrue(host.connected().isEmpty() && stranger.connected().isEmpty())
        }
    }

    @Test
    fun `an oversize frame and a peer that stays silent in the handshake are cut off`() = runBlocking {
        val host = net("host", options = LinkOptions(handshakeTimeoutMs = 300))
        val address = host.address()
        raw(address).openWriteChannel(autoFlush = true).writeInt(FrameCodec.MAX_BODY_BYTES + 1)
        until { host.closures(LinkClosure.OVERSIZE_FRAME) == 1L }
        raw(address).openReadChannel().readInt()
        until { host.closures(LinkClosure.HANDSHAKE_TIMEOUT) == 1L }
    }

    @Test
    fun `a link without pings goes down and comes up again`() = runBlocking {
        val a = net("a", options = LinkOptions(silenceTimeoutMs = 300, pingIntervalMs = 100))
        val b = net("b", options = LinkOptions(pingIntervalMs = 100_000))
        a.connect("b", b.address())
        until { a.closures(LinkClosure.SILENT) >= 2 }
    }

    @Test
    fun `a new process epoch replaces the link of the old one`() = runBlocking {
        val a = net("a")
        val address = a.address()
        net("b", epoch = 1).connect("a", address)
        until { a.connected()["b"]?.epoch == 1L }
        net("b", epoch = 2).connect("a", address)
        until { a.connected()["b"]?.epoch == 2L }
    }

    @Test
    fun `a full queue refuses and control frames leave before bulk frames`() {
        val queue = SendQueue(frames = 2, maxBytes = 100)
        val bulk = LinkFrame(forwardChunk = ForwardChunk(1, 0, ByteArray(1)))
        assertFalse(queue.offer(bulk, ByteArray(101)))
        assertTrue(queue.offer(bulk, byteArrayOf(1)) && queue.offer(bulk, byteArrayOf(2)))
        assertFalse(queue.offer(bulk, byteArrayOf(3)))
        assertTrue(queue.offer(synced(1), byteArrayOf(4)))
        assertEquals(listOf<Byte>(4, 1, 2), List(3) { queue.poll()?.single() })
    }

    private fun net(name: String, secret: String = "s", epoch: Long = 1, options: LinkOptions = LinkOptions()) =
        SocketLinkNetwork(HostIdentity(name, "r", "z", epoch), secret.toByteArray(), scope, options).also { nets += it }

    private suspend fun SocketLinkNetwork.address() = "127.0.0.1:${listen("127.0.0.1", 0)}"

    private suspend fun raw(address: String): Socket =
        aSocket(SelectorManager(Dispatchers.IO)).tcp().connect("127.0.0.1", address.substringAfter(':').toInt())

    private fun record(net: SocketLinkNetwork) = ConcurrentLinkedQueue<LinkFrame>().also { seen ->
        net.addReceiver(object : FrameReceiver {
            override fun onFrame(from: HostIdentity, frame: LinkFrame) {
                seen += frame
            }
        })
    }

    private suspend fun SocketLinkNetwork.sendRetrying(host: String, frame: LinkFrame) = until { send(host, frame) }

    private fun synced(number: Long) = LinkFrame(manifestSynced = ManifestSynced(number))

    private suspend fun until(condition: () -> Boolean) = withTimeout(20_000) { while (!condition()) delay(5) }
}
