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
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class SocketLinkNetworkTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val networks = ArrayList<SocketLinkNetwork>()

    @AfterTest
    fun stop() {
        networks.forEach { it.close() }
        scope.cancel()
    }

    @Test
    fun `frames of one link arrive in the order in which they were sent`() = runBlocking {
        val (a, b) = network("a") to network("b")
        val received = recordFrames(b)
        a.connect("b", b.address())
        awaitUntil { "b" in a.connected() && "a" in b.connected() }
        repeat(1_000) { a.sendRetrying("b", synced(it.toLong())) }
        awaitUntil { received.size == 1_000 }
        assertEquals((0L until 1_000).toList(), received.map { it.manifestSynced?.number })
    }

    @Test
    fun `simultaneous dialling leaves one connection per pair of hosts`() = runBlocking {
        repeat(20) { round ->
            val (a, b) = network("a$round") to network("b$round")
            val (atA, atB) = a.address() to b.address()
            a.connect(b.self.hostName, atB)
            b.connect(a.self.hostName, atA)
            awaitUntil { a.connected().size == 1 && b.connected().size == 1 }
            val received = recordFrames(b)
            awaitUntil { a.send(b.self.hostName, synced(7)) && received.isNotEmpty() }
        }
    }

    /** Guards against a host that stays cut off because one try to connect failed in an unexpected way. */
    @Test
    fun `a host is dialled again after a try that threw an exception`() = runBlocking {
        var tries = 0
        val random = object : Random() {
            override fun nextBits(bitCount: Int): Int = Default.nextBits(bitCount)

            override fun nextBytes(size: Int): ByteArray {
                check(++tries > 2) { "simulated failure" }
                return super.nextBytes(size)
            }
        }
        val identity = HostIdentity("a", "r", "z", 1)
        val host = SocketLinkNetwork(identity, "s".toByteArray(), scope, random = random).also { networks += it }
        val peer = network("b")
        host.connect("b", peer.address())
        awaitUntil { "b" in host.connected() && "a" in peer.connected() }
        assertEquals(3, tries)
    }

    @Test
    fun `a peer with a wrong secret or version is rejected on both sides`() = runBlocking {
        val cases = listOf(
            network("x", secret = "other") to LinkClosure.WRONG_SECRET,
            network("y", options = LinkOptions(protocolVersion = 2)) to LinkClosure.WRONG_VERSION,
        )
        val host = network("host")
        val address = host.address()
        for ((otherHost, closure) in cases) {
            otherHost.connect("host", address)
            awaitUntil { host.closures(closure) > 0 }
            assertTrue(host.connected().isEmpty() && otherHost.connected().isEmpty())
        }
    }

    @Test
    fun `an oversize frame and a handshake timeout close the connection`() = runBlocking {
        val host = network("host", options = LinkOptions(handshakeTimeoutMs = 300))
        val address = host.address()
        rawSocket(address).openWriteChannel(autoFlush = true).writeInt(FrameCodec.MAX_BODY_BYTES + 1)
        awaitUntil { host.closures(LinkClosure.OVERSIZE_FRAME) == 1L }
        rawSocket(address).openReadChannel().readInt()
        awaitUntil { host.closures(LinkClosure.HANDSHAKE_TIMEOUT) == 1L }
    }

    @Test
    fun `a silent link is closed and opened again`() = runBlocking {
        val a = network("a", options = LinkOptions(silenceTimeoutMs = 300, pingIntervalMs = 100))
        val b = network("b", options = LinkOptions(pingIntervalMs = 100_000))
        a.connect("b", b.address())
        awaitUntil { a.closures(LinkClosure.SILENT) >= 2 }
    }

    @Test
    fun `a link of a new process epoch replaces the link of the previous epoch`() = runBlocking {
        val a = network("a")
        val address = a.address()
        network("b", epoch = 1).connect("a", address)
        awaitUntil { a.connected()["b"]?.epoch == 1L }
        network("b", epoch = 2).connect("a", address)
        awaitUntil { a.connected()["b"]?.epoch == 2L }
    }

    /** Guards against one frame that a receiver cannot process, which ends the link or the accepting of others. */
    @Test
    fun `a receiver that fails ends neither its link nor others`() = runBlocking {
        val (a, b) = network("a") to network("b")
        b.addReceiver(object : FrameReceiver {
            override fun onFrame(from: HostIdentity, frame: LinkFrame) = error("cannot be processed")

            override fun onLinkUp(host: HostIdentity) = error("cannot be processed")
        })
        val received = recordFrames(b)
        val address = b.address()
        a.connect("b", address)
        awaitUntil { "b" in a.connected() && "a" in b.connected() }
        repeat(3) { a.sendRetrying("b", synced(it.toLong())) }
        awaitUntil { received.size == 3 }
        val c = network("c")
        c.connect("b", address)
        c.sendRetrying("b", synced(4))
        awaitUntil { received.size == 4 }
        assertEquals(0, LinkClosure.entries.sumOf { b.closures(it) })
    }

    @Test
    fun `a full queue rejects frames and control frames are sent before bulk frames`() {
        val queue = SendQueue(maxFrames = 2, maxBytes = 100)
        val bulk = LinkFrame(forwardChunk = ForwardChunk(1, 0, ByteArray(1)))
        assertFalse(queue.offer(bulk, ByteArray(101)))
        assertTrue(queue.offer(bulk, byteArrayOf(1)) && queue.offer(bulk, byteArrayOf(2)))
        assertFalse(queue.offer(bulk, byteArrayOf(3)))
        assertTrue(queue.offer(synced(1), byteArrayOf(4)))
        assertEquals(listOf<Byte>(4, 1, 2), List(3) { queue.poll()?.single() })
    }

    private fun network(name: String, secret: String = "s", epoch: Long = 1, options: LinkOptions = LinkOptions()) =
        SocketLinkNetwork(HostIdentity(name, "r", "z", epoch), secret.toByteArray(), scope, options)
            .also { networks += it }

    private suspend fun SocketLinkNetwork.address() = "127.0.0.1:${listen("127.0.0.1", 0)}"

    private suspend fun rawSocket(address: String): Socket =
        aSocket(SelectorManager(Dispatchers.IO)).tcp().connect("127.0.0.1", address.substringAfter(':').toInt())

    private fun recordFrames(network: SocketLinkNetwork) = ConcurrentLinkedQueue<LinkFrame>().also { received ->
        network.addReceiver(object : FrameReceiver {
            override fun onFrame(from: HostIdentity, frame: LinkFrame) {
                received += frame
            }
        })
    }

    private suspend fun SocketLinkNetwork.sendRetrying(host: String, frame: LinkFrame) =
        awaitUntil { send(host, frame) }

    private fun synced(number: Long) = LinkFrame(manifestSynced = ManifestSynced(number))

    private suspend fun awaitUntil(condition: () -> Boolean) = withTimeout(20_000) { while (!condition()) delay(5) }
}
