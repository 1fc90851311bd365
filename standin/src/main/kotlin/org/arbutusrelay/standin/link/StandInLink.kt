package org.arbutusrelay.standin.link

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/**
 * Simulates a TCP link between two regions with a delay, a capacity and partitions.
 *
 * Accepts connections on a loopback port and forwards their bytes to [targetPort]. While [isCut] is true, bytes are
 * buffered and not forwarded, as in a network partition: connections stay open and no error is reported.
 */
public class StandInLink(
    private val targetPort: Int,
    /** One-way delay, in milliseconds. */
    private val oneWayDelayMs: Long = 55,
    /** Capacity per direction, in bits per second. */
    private val capacityBitsPerSecond: Long = 1_500_000_000,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()
    private val passedBytes = AtomicLong()

    /** True while the link is partitioned and forwards no bytes. */
    @Volatile
    public var isCut: Boolean = false

    /** Loopback port that accepts connections to the remote end of the link. */
    public val port: Int = listener.localPort

    /** Returns the number of bytes forwarded in both directions. */
    public fun passedBytes(): Long = passedBytes.get()

    /** Starts accepting connections. */
    public fun start(): StandInLink {
        daemonThread("link-accept") { acceptConnections() }
        return this
    }

    override fun close() {
        listener.close()
        sockets.forEach(Socket::close)
    }

    private fun acceptConnections() {
        while (!listener.isClosed) {
            val clientSocket = acceptOrNull() ?: return
            val targetSocket = connectOrNull()
            if (targetSocket == null) {
                clientSocket.close()
            } else {
                sockets += listOf(clientSocket, targetSocket)
                forward(clientSocket, targetSocket)
                forward(targetSocket, clientSocket)
            }
        }
    }

    private fun acceptOrNull(): Socket? = try {
        listener.accept().apply { tcpNoDelay = true }
    } catch (_: IOException) {
        null
    }

    private fun connectOrNull(): Socket? = try {
        Socket(InetAddress.getLoopbackAddress(), targetPort).apply { tcpNoDelay = true }
    } catch (_: IOException) {
        null
    }

    private fun forward(from: Socket, to: Socket) {
        val queue = ArrayBlockingQueue<Chunk>(QUEUE_CHUNKS)
        daemonThread("link-read") { read(from, queue) }
        daemonThread("link-write") { write(to, queue, from) }
    }

    private fun read(from: Socket, queue: ArrayBlockingQueue<Chunk>) {
        try {
            val input = from.getInputStream()
            while (true) {
                val buffer = ByteArray(CHUNK_BYTES)
                val count = input.read(buffer)
                if (count < 0) break
                queue.put(Chunk(buffer, count, System.nanoTime()))
            }
        } catch (_: IOException) {
            from.close()
        }
        queue.put(Chunk(ByteArray(0), -1, System.nanoTime()))
    }

    private fun write(to: Socket, queue: ArrayBlockingQueue<Chunk>, from: Socket) {
        try {
            while (true) {
                val chunk = queue.take()
                awaitDelivery(chunk)
                if (chunk.byteCount < 0) break
                to.getOutputStream().write(chunk.bytes, 0, chunk.byteCount)
                passedBytes.addAndGet(chunk.byteCount.toLong())
            }
            to.shutdownOutput()
        } catch (_: IOException) {
            to.close()
            from.close()
        }
    }

    private fun awaitDelivery(chunk: Chunk) {
        val transferNanos = maxOf(chunk.byteCount, 0) * BITS_PER_BYTE * NANOS_PER_SECOND / capacityBitsPerSecond
        val dueNanos = chunk.readAtNanos + oneWayDelayMs * NANOS_PER_MS + transferNanos
        val waitMs = (dueNanos - System.nanoTime()) / NANOS_PER_MS
        if (waitMs > 0) Thread.sleep(waitMs)
        while (isCut && !listener.isClosed) Thread.sleep(CUT_POLL_INTERVAL_MS)
    }

    private fun daemonThread(name: String, body: () -> Unit) {
        thread(isDaemon = true, name = name, block = body)
    }

    private class Chunk(val bytes: ByteArray, val byteCount: Int, val readAtNanos: Long)

    private companion object {
        private const val BACKLOG = 50
        private const val QUEUE_CHUNKS = 1_024
        private const val CHUNK_BYTES = 16 * 1024
        private const val BITS_PER_BYTE = 8L
        private const val NANOS_PER_MS = 1_000_000L
        private const val NANOS_PER_SECOND = 1_000_000_000L
        private const val CUT_POLL_INTERVAL_MS = 5L
    }
}
