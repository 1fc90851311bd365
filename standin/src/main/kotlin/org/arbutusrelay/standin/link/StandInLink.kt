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
 * A TCP link between two regions with a delay, a capacity and a switch that cuts it.
 *
 * It accepts connections on a loopback port and passes the bytes on to [targetPort]. While [isCut] is set, bytes are
 * held back and none pass, in the manner of a partition: connections stay open and no error is reported.
 */
public class StandInLink(
    private val targetPort: Int,
    /** Delay one way, in milliseconds. */
    private val oneWayDelayMs: Long = 55,
    /** Capacity each way, in bits a second. */
    private val capacityBitsPerSecond: Long = 1_500_000_000,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()
    private val passedBytes = AtomicLong()

    /** True while no bytes pass. */
    @Volatile
    public var isCut: Boolean = false

    /** Port that stands for the other end of the link. */
    public val port: Int = listener.localPort

    /** Bytes passed in both directions. */
    public fun passedBytes(): Long = passedBytes.get()

    /** Starts to accept connections. */
    public fun start(): StandInLink {
        daemonThread("link-accept") { acceptAll() }
        return this
    }

    override fun close() {
        listener.close()
        sockets.forEach(Socket::close)
    }

    private fun acceptAll() {
        while (!listener.isClosed) {
            val near = acceptOrNull() ?: return
            val far = connectOrNull()
            if (far == null) {
                near.close()
            } else {
                sockets += listOf(near, far)
                pump(near, far)
                pump(far, near)
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

    private fun pump(from: Socket, to: Socket) {
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
        while (isCut && !listener.isClosed) Thread.sleep(CUT_POLL_MS)
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
        private const val CUT_POLL_MS = 5L
    }
}
