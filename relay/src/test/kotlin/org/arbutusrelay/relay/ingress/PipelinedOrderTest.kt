package org.arbutusrelay.relay.ingress

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpServerCodec
import kotlin.test.Test
import kotlin.test.assertEquals

/** The order of the requests that a caller sends without waiting for the responses before them. */
class PipelinedOrderTest {
    private class Recorder : IngressService {
        val requests = mutableListOf<String>()
        val writers = ArrayDeque<ResponseWriter>()
        override val isShuttingDown = false

        override fun createExchange(request: IngressRequest, writer: ResponseWriter): IngressExchange {
            requests += request.path + " " + request.body.decodeToString()
            writers += writer
            return OpenExchange
        }

        override fun onConnectionOpened(handler: IngressHandler, channel: Channel) = Unit

        override fun onConnectionClosed(handler: IngressHandler) = Unit

        fun respond() = writers.removeFirst().sendFull(OK, DefaultHttpHeaders(), ByteArray(0))
    }

    private object OpenExchange : IngressExchange {
        override val isSent = true

        override fun start() = Unit

        override fun onCallerDisconnected() = Unit

        override fun onAdmissionRestricted() = Unit

        override fun onProcessEnding() = Unit
    }

    /** Bytes that arrive before the response to the first request, and in the same pass of the event loop after it. */
    private data class Case(val before: String, val after: String, val expected: List<String>)

    private fun request(path: String, body: String) =
        "POST $path HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n$body"

    /** Guards against a response that answers another request of its caller, and against a body without its head. */
    @Test
    fun `requests that arrive right after a response do not overtake those that wait`() {
        val second = request("/2", "two")
        val third = request("/3", "three")
        val cases = listOf(
            Case(second, third, listOf("/1 one", "/2 two", "/3 three")),
            Case(second.dropLast(1), second.takeLast(1) + third, listOf("/1 one", "/2 two", "/3 three")),
            Case(second.dropLast(3), second.takeLast(3), listOf("/1 one", "/2 two")),
            Case("", second, listOf("/1 one", "/2 two")),
        )
        for (case in cases) {
            val recorder = Recorder()
            val handler = IngressHandler(isForwarded = false, IngressOptions({ 0 }) { MAX_BODY_BYTES }, recorder)
            val channel = EmbeddedChannel(handler.byteListener, HttpServerCodec(), handler)
            channel.receive(request("/1", "one"))
            channel.receive(case.before)
            recorder.respond()
            channel.receive(case.after)
            channel.runPendingTasks()
            while (recorder.writers.isNotEmpty()) {
                recorder.respond()
                channel.runPendingTasks()
            }
            assertEquals(case.expected, recorder.requests, "$case")
            channel.finishAndReleaseAll()
        }
    }

    private fun EmbeddedChannel.receive(text: String) {
        if (text.isNotEmpty()) pipeline().fireChannelRead(Unpooled.copiedBuffer(text, Charsets.US_ASCII))
    }

    private companion object {
        const val OK = 200
        const val MAX_BODY_BYTES = 1_024
    }
}
