package org.arbutusrelay.daemon.link

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.selects.select
import org.arbutusrelay.schema.message.LinkFrame
import java.util.concurrent.atomic.AtomicLong

/**
 * Send queue of one link: two lanes of encoded frames, each bounded in frames and bytes.
 *
 * Control frames are sent before bulk frames. Each lane is FIFO; all frames of forwarded requests use the bulk lane
 * so that a cancellation cannot overtake its request.
 */
internal class SendQueue(maxFrames: Int, private val maxBytes: Long) {
    private val control = Lane(maxFrames)
    private val bulk = Lane(maxFrames)

    /** Queues [body] without blocking; returns false if the lane is full or closed. */
    fun offer(frame: LinkFrame, body: ByteArray): Boolean {
        val lane = if (isBulk(frame)) bulk else control
        if (lane.bytes.addAndGet(body.size.toLong()) <= maxBytes && lane.channel.trySend(body).isSuccess) return true
        lane.bytes.addAndGet(-body.size.toLong())
        return false
    }

    /** Removes and returns the next frame; suspends while the queue is empty. */
    suspend fun next(): ByteArray = poll() ?: select {
        control.channel.onReceive { control.onDequeued(it) }
        bulk.channel.onReceive { bulk.onDequeued(it) }
    }

    /** Removes and returns the next frame, or null if the queue is empty. */
    fun poll(): ByteArray? = control.poll() ?: bulk.poll()

    fun close() {
        control.channel.cancel()
        bulk.channel.cancel()
    }

    private class Lane(maxFrames: Int) {
        val channel = Channel<ByteArray>(maxFrames)
        val bytes = AtomicLong()

        fun poll(): ByteArray? = channel.tryReceive().getOrNull()?.let(::onDequeued)

        fun onDequeued(body: ByteArray): ByteArray = body.also { bytes.addAndGet(-it.size.toLong()) }
    }
}

private fun isBulk(frame: LinkFrame): Boolean = frame.forwardRequest != null || frame.forwardHead != null ||
    frame.forwardChunk != null || frame.forwardEnd != null || frame.forwardCancel != null ||
    frame.forwardCredit != null || frame.manifestPullReply != null
