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

/** An authenticated connection to another daemon process. */
internal class Link(
    val peer: HostIdentity,
    /** Name of the host that opened the connection. */
    val diallerName: String,
    private val connection: LinkConnection,
    private val options: LinkOptions,
    private val timeSource: TimeSource,
) {
    private val queue = SendQueue(options.maxQueuedFrames, options.maxQueuedBytes)

    @Volatile
    private var lastReceivedAt: TimeMark = timeSource.markNow()

    @Volatile
    private var lastOfferedAt: TimeMark = timeSource.markNow()

    /** Queues [body], the encoding of [frame], without blocking; returns false if the queue is full or closed. */
    fun offer(frame: LinkFrame, body: ByteArray): Boolean {
        lastOfferedAt = timeSource.markNow()
        return queue.offer(frame, body)
    }

    /** Sends and receives frames until the link fails; never returns normally. */
    suspend fun run(onFrame: (LinkFrame) -> Unit): Unit = coroutineScope {
        launch { writeFrames() }
        launch { sendPings() }
        while (isActive) {
            val frame = connection.read()
            lastReceivedAt = timeSource.markNow()
            if (frame.ping == null) onFrame(frame)
        }
    }

    fun close() {
        queue.close()
        connection.close()
    }

    private suspend fun writeFrames() {
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

    /** Sends a ping whenever no other frame was sent for an interval, and closes the link when the peer is silent. */
    private suspend fun sendPings() {
        var sequence = 0L
        val interval = options.pingIntervalMs.milliseconds
        while (true) {
            if (lastOfferedAt.elapsedNow() >= interval) {
                val frame = LinkFrame(ping = Ping(sequence++))
                offer(frame, FrameCodec.encode(frame))
            }
            // Waits until a ping is due if no frame is sent in the meantime; silence is checked at the same times.
            delay(interval - lastOfferedAt.elapsedNow())
            if (lastReceivedAt.elapsedNow() > options.silenceTimeoutMs.milliseconds) {
                val detail = "nothing received for ${options.silenceTimeoutMs} ms"
                throw LinkClosedException(LinkClosure.SILENT, detail)
            }
        }
    }
}
