package org.arbutusrelay.daemon

import java.io.BufferedInputStream
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** A backend server on raw sockets, so that tests control each byte and each connection reset. */
class StubBackendServer(private val handler: Exchange.() -> Unit) : AutoCloseable {
    private val socket = ServerSocket(0, 50, InetAddress.getLoopbackAddress())

    /** Requests received, in order. */
    val received = CopyOnWriteArrayList<Exchange>()
    val address: String = "http://127.0.0.1:${socket.localPort}"

    init {
        thread(isDaemon = true) {
            while (!socket.isClosed) runCatching { socket.accept() }.onSuccess { thread(isDaemon = true) { serve(it) } }
        }
    }

    override fun close() = socket.close()

    fun count(method: String): Int = received.count { it.method == method }

    private fun serve(connection: Socket) = try {
        connection.use {
            val input = BufferedInputStream(it.getInputStream())
            generateSequence { if (it.isClosed) null else Exchange.read(it, input) }.forEach { exchange ->
                received += exchange
                exchange.handler()
            }
        }
    } catch (_: SocketException) {
        // The client may reset the connection at any time.
    }

    class Exchange(
        private val socket: Socket,
        val method: String,
        val target: String,
        val headers: Map<String, String>,
        val body: String,
    ) {
        /** Port of the caller's side of the connection. */
        val peerPort: Int get() = socket.port

        fun respond(status: Int, body: String, vararg fields: String) =
            write("HTTP/1.1 $status X\r\nContent-Length: ${body.length}\r\n${lines(fields)}\r\n$body")

        /** Starts an event stream that ends when the connection is closed. */
        fun startEventStream(vararg fields: String) =
            write(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n${lines(fields)}\r\n",
            )

        fun event(id: Int, data: String) = write("id: $id\ndata: $data\n\n")

        fun write(text: String) = socket.getOutputStream().run {
            write(text.encodeToByteArray())
            flush()
        }

        fun close() = socket.close()

        /** Closes the connection with a TCP reset. */
        fun reset() {
            socket.setSoLinger(true, 0)
            socket.close()
        }

        private fun lines(fields: Array<out String>) = fields.joinToString("") { "$it\r\n" }

        companion object {
            fun read(socket: Socket, input: InputStream): Exchange? {
                val (method, target) = readLine(input)?.split(' ') ?: return null
                val headers = generateSequence { readLine(input)?.takeIf(String::isNotEmpty) }
                    .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
                val body = input.readNBytes(headers["content-length"]?.toInt() ?: 0).decodeToString()
                return Exchange(socket, method, target, headers, body)
            }

            private fun readLine(input: InputStream): String? {
                val text = StringBuilder()
                while (true) {
                    val next = input.read()
                    if (next < 0) return null
                    if (next == '\n'.code) return text.toString().trimEnd('\r')
                    text.append(next.toChar())
                }
            }
        }
    }
}
