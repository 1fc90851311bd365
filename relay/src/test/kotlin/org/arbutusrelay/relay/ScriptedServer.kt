package org.arbutusrelay.relay

import java.io.BufferedInputStream
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** A request as read from the socket. */
internal class RawRequest(val line: String, val headers: List<String>, val body: String) {
    fun header(name: String): String? =
        headers.firstOrNull { it.startsWith("$name:", ignoreCase = true) }?.substringAfter(':')?.trim()
}

/**
 * A backend server on a raw socket, so that tests can observe each byte and each connection.
 *
 * [script] is called for each request with its sequence number on the connection and writes the response. With
 * [readsBodies] false, it is called after the head of a request, whose body is not read.
 */
internal class ScriptedServer(
    private val readsBodies: Boolean,
    private val script: (Socket, RawRequest, Int) -> Unit,
) : AutoCloseable {
    constructor(script: (Socket, RawRequest, Int) -> Unit) : this(readsBodies = true, script)

    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    val address: String get() = "127.0.0.1:${server.localPort}"
    val requests = CopyOnWriteArrayList<RawRequest>()
    val sockets = CopyOnWriteArrayList<Socket>()

    /** Connections closed by the peer. */
    val closed = CopyOnWriteArrayList<Socket>()

    init {
        thread(isDaemon = true) {
            runCatching {
                while (true) {
                    val socket = server.accept()
                    sockets += socket
                    thread(isDaemon = true) { runCatching { serve(socket) } }
                }
            }
        }
    }

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
    }

    private fun serve(socket: Socket) {
        val input = BufferedInputStream(socket.getInputStream())
        var number = 0
        while (true) {
            val request = read(input, readsBodies)
            if (request == null) {
                closed += socket
                return
            }
            requests += request
            number++
            val sequence = number
            script(socket, request, sequence)
        }
    }

    companion object {
        /** Reads one request; returns null at the end of the stream. */
        fun read(input: InputStream, readsBody: Boolean = true): RawRequest? {
            val line = readLine(input) ?: return null
            val headers = generateSequence { readLine(input)?.takeIf { it.isNotEmpty() } }.toList()
            val length = headers.firstOrNull { it.startsWith("Content-Length:", ignoreCase = true) }
                ?.substringAfter(':')?.trim()?.toInt() ?: 0
            return RawRequest(line, headers, if (readsBody) String(input.readNBytes(length)) else "")
        }

        fun readLine(input: InputStream): String? {
            val line = StringBuilder()
            while (true) {
                val next = input.read()
                if (next < 0) return if (line.isEmpty()) null else line.toString()
                if (next == '\n'.code) return line.toString().removeSuffix("\r")
                line.append(next.toChar())
            }
        }

        fun Socket.write(text: String) {
            getOutputStream().write(text.encodeToByteArray())
            getOutputStream().flush()
        }

        /** Returns a complete signed response to [request]. */
        fun signedResponse(request: RawRequest, body: String, extraHeaders: String = ""): String =
            "HTTP/1.1 200 OK\r\nAttempt: ${request.header("Attempt")}\r\nSignature: s\r\n$extraHeaders" +
                "Content-Length: ${body.length}\r\n\r\n$body"

        /** Closes the connection with a TCP reset. */
        fun Socket.reset() {
            setSoLinger(true, 0)
            close()
        }
    }
}
