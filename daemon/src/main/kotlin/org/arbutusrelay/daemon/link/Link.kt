package org.arbutusrelay.daemon.link

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.Ping
import kotlin.concurrent.Volatile
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** An authenticated connection to one process. */
internal class Link(
    val peer: HostIdentity,
    /** Name of the host that opened the connection. */
    val diallerName: String,
    private val connection: LinkConnection,
    private val options: LinkOptions,
    private val timeSource: TimeSource,
) {
    private val queue = SendQueue(options.queueFrames, options.queueBytes)

    @Volatile
    private var lastReceived: TimeMark = timeSource.markNow()

    /** Queues [body] without blocking. */
    fun offer(frame: LinkFrame, body: ByteArray): Boolean = queue.offer(frame, body)

    /** Moves frames in both directions until the link ends, always with an exception. */
    suspend fun run(onFrame: (LinkFrame) -> Unit): Unit = coroutineScope {
        launch { write() }
        launch { ping() }
        while (isActive) {
            val frame = connection.read()
            lastReceived = timeSource.markNow()
            if (frame.ping == null) onFrame(frame)
        }
    }

    fun close() {
        queue.close()
        connection.close()
    }

    private suspend fun write() {
        while (true) {
            connection.write(queue.next())
            var next = queue.poll()
            while (next != null) {
                connection.write(next)
                next = queue.poll()
            }
            connection.flush()
        }
    }

    private suspend fun ping() {
        var sequence = 0L
        while (true) {
            val frame = LinkFrame(ping = Ping(sequence++))
            queue.offer(frame, FrameCodec.encode(frame))
            delay(options.pingIntervalMs)
            if (lastReceived.elapsedNow() > options.silenceTimeoutMs.milliseconds) {
                val detail = "nothing received for ${options.silenceTimeoutMs} ms"
                throw LinkClosedException(LinkClosure.SILENT, detail)
            }
        }
    }
}
