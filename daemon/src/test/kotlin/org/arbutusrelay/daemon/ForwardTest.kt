package org.arbutusrelay.daemon

import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.daemon.backend.DropReason
import org.arbutusrelay.daemon.link.FrameReceiver
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.schema.message.ForwardEnd
import org.arbutusrelay.schema.message.ForwardRequest
import org.arbutusrelay.schema.message.LinkFrame
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Guards against forwarding loops, requests run in regions that are not allowed, and corrupted responses. */
class ForwardTest {
    private val links = FakeLinks()
    private val hueHost = HostIdentity("hue-1", "hue", "hue-a", 7)
    private val hueNode = links.join(hueHost)
    private val danangNode = links.join(HostIdentity("danang-1", "danang", "danang-a", 8))
    private val hue = TestDaemon(network = hueNode, scheduler = ForwardingScheduler("danang"))
    private val danang = TestDaemon(self = danangNode.self, network = danangNode)

    @AfterTest
    fun close() {
        hue.close()
        danang.close()
    }

    private fun <T> withServer(handler: StubBackendServer.Exchange.() -> Unit, action: (StubBackendServer) -> T): T =
        StubBackendServer(handler).use { server ->
            danang.announce("b1", "board", server.address, "danang")
            danang.announce("e1", "draft", server.address, "danang")
            action(server)
        }

    @Test
    fun `a response larger than the credit window arrives complete from the other region`() {
        val text = "0123456789".repeat(100_000)
        withServer({ respond(200, text) }) { server ->
            val response = hue.query()
            assertEquals(text, response.body())
            assertEquals(
                response.headers().firstValue("Arbutus-Request-Id").get(),
                server.received[0].headers["arbutus-request-id"],
            )
        }
    }

    @Test
    fun `a non-idempotent request is forwarded under a grant and run once`() = withServer({ respond(200, "ticket") }) {
        assertEquals(listOf("ticket", "ticket"), List(2) { hue.post().body() })
        assertEquals(1, it.received.size)
    }

    @Test
    fun `a duplicated request frame is run once`() = withServer({ respond(200, "ticket") }) {
        links.transform = { if (it.forwardRequest != null) listOf(it, it) else listOf(it) }
        assertEquals("ticket", hue.post().body())
        assertEquals(1, it.received.size)
    }

    @Test
    fun `duplicate chunks are dropped and a missing chunk fails the response`() {
        links.transform = { if (it.forwardChunk != null) listOf(it, it) else listOf(it) }
        withServer({ respond(200, "once") }) { assertEquals("once", hue.query().body()) }
        assertEquals(1, hue.daemon.metrics.responseDropCount(DropReason.DUPLICATE))
        links.transform = { if (it.forwardChunk != null) emptyList() else listOf(it) }
        withServer({ respond(200, "lost") }) {
            val response = hue.query()
            assertEquals(502, response.statusCode())
            assertContains(response.body(), "stream_broken")
        }
    }

    @Test
    fun `a link failure leaves the outcome of a non-idempotent request unknown`() {
        val mayRespond = CountDownLatch(1)
        withServer({
            danangNode.disconnect()
            mayRespond.await()
        }) {
            val response = hue.post()
            mayRespond.countDown()
            assertEquals("unknown", response.headers().firstValue("Arbutus-Outcome").get())
        }
    }

    @Test
    fun `a request that cannot reach the other region is not_run there and is served locally`() {
        danangNode.isUp = false
        StubBackendServer { respond(200, "home") }.use { server ->
            hue.announce("b1", "board", server.address)
            assertEquals("home", hue.query().body())
            assertEquals("home", hue.post().body())
        }
    }

    @Test
    fun `a receiver with a newer manifest refuses the request before it is run`() = withServer({ respond(200, "x") }) {
        danang.publish(2)
        val end = forward(request(path = listOf("hue-1"), manifestNumber = 1))
        assertEquals(ErrorKind.MANIFEST_STALE.id, end.errorKind)
        assertEquals(0, it.received.size)
    }

    @Test
    fun `a request refused under a newer manifest is resent once the sender has that manifest`() =
        withServer({ respond(200, "ticket") }) {
            danang.publish(2)
            links.transform = { frame ->
                if (frame.forwardEnd?.errorKind == ErrorKind.MANIFEST_STALE.id) hue.publish(2)
                listOf(frame)
            }
            assertEquals("ticket", hue.post().body())
            assertEquals(1, it.received.size)
        }

    @Test
    fun `loops, second hops and requests without a grant are refused before they are run`() =
        withServer({ respond(200, "x") }) {
            val refused = mapOf(
                "path holds the receiver" to request(path = listOf("hue-1", "danang-1")),
                "second hop" to request(path = listOf("almaty-1", "hue-1")),
                "path without the sender" to request(path = listOf("almaty-1")),
                "empty path" to request(path = emptyList()),
                "no grant" to request(path = listOf("hue-1"), kind = "post"),
            )
            for ((name, request) in refused) {
                assertEquals(ErrorKind.FORWARD_REFUSED.id, forward(request).errorKind, name)
            }
            val stale = forward(request(path = listOf("hue-1"), manifestNumber = 9))
            assertEquals(ErrorKind.MANIFEST_STALE.id, stale.errorKind, "a manifest that the receiver lacks")
            assertEquals(0, it.received.size)
            assertEquals(null, forward(request(path = listOf("hue-1"))).errorKind)
        }

    private fun forward(request: ForwardRequest): ForwardEnd {
        val ends = LinkedBlockingQueue<ForwardEnd>()
        hueNode.addReceiver(object : FrameReceiver {
            override fun onFrame(from: HostIdentity, frame: LinkFrame) {
                frame.forwardEnd?.takeIf { it.correlation == request.correlation }?.let(ends::add)
            }
        })
        hueNode.send("danang-1", LinkFrame(forwardRequest = request))
        return ends.take()
    }

    private var lastCorrelation = 5_000L

    private fun request(path: List<String>, manifestNumber: Long = 1, kind: String = "query") = ForwardRequest(
        ++lastCorrelation, "hue-1-7-1", manifestNumber, 20_000, path, "registry", "board", kind, false, "GET", "/x",
        emptyList(), ByteArray(0), 1_000, "",
    )
}
