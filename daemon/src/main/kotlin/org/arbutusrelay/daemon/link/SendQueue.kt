package org.arbutusrelay.daemon.link

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.selects.select
import org.arbutusrelay.schema.message.LinkFrame
import java.util.concurrent.atomic.AtomicLong

/**
 * The encoded frames that wait for one link, in two lanes that are bounded in frames and in bytes.
 *
 * Control frames leave before bulk frames. Order is kept within a lane; all frames of forwarded requests share the
 * bulk lane, because a cancellation must not overtake its request.
 */
internal class SendQueue(frames: Int, private val maxBytes: Long) {
    private val control = Lane(frames)
    private val bulk = Lane(frames)

    /** Queues [body] without blocking; false when the lane is full or closed. */
    fun offer(frame: LinkFrame, body: ByteArray): Boolean {
        val lane = if (isBulk(frame)) bulk else control
        if (lane.bytes.addAndGet(body.size.toLong()) <= maxBytes && lane.channel.trySend(body).isSuccess) return true
        lane.bytes.addAndGet(-body.size.toLong())
        return false
    }

    /** Waits for the next frame. */
    suspend fun next(): ByteArray = poll() ?: select {
        control.channel.onReceive { control.taken(it) }
        bulk.channel.onReceive { bulk.taken(it) }
    }

    /** Returns the next frame, or null when none waits. */
    fun poll(): ByteArray? = control.poll() ?: bulk.poll()

    fun close() {
        control.channel.cancel()
        bulk.channel.cancel()
    }

    private class Lane(frames: Int) {
        val channel = Channel<ByteArray>(frames)
        val bytes = AtomicLong()

        fun poll(): ByteArray? = channel.tryReceive().getOrNull()?.let(::taken)

        fun taken(body: ByteArray): ByteArray = body.also { bytes.addAndGet(-it.size.toLong()) }
    }
}

private fun isBulk(frame: LinkFrame): Boolean = frame.forwardRequest != null || frame.forwardHead != null ||
    frame.forwardChunk != null || frame.forwardEnd != null || frame.forwardCancel != null ||
    frame.forwardCredit != null || frame.manifestPullReply != null
