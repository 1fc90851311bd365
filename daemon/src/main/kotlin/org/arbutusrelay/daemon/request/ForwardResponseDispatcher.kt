package org.arbutusrelay.daemon.request

import kotlinx.coroutines.channels.Channel
import org.arbutusrelay.daemon.backend.DropReason
import org.arbutusrelay.daemon.link.FrameReceiver
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.schema.message.ForwardChunk
import org.arbutusrelay.schema.message.ForwardEnd
import org.arbutusrelay.schema.message.ForwardHead
import org.arbutusrelay.schema.message.LinkFrame
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** A part of the response to a forwarded request. */
internal sealed interface ForwardEvent {
    class Head(val head: ForwardHead) : ForwardEvent

    class Chunk(val chunk: ForwardChunk) : ForwardEvent

    class End(val end: ForwardEnd) : ForwardEvent

    data object LinkLost : ForwardEvent
}

/**
 * Hands the frames of responses to the forwarded requests that they belong to.
 *
 * A frame that belongs to no open request, or comes from another process than the one that was asked, is dropped and
 * counted.
 */
public class ForwardResponseDispatcher(private val onDrop: (DropReason) -> Unit) : FrameReceiver {
    internal class Pending(val host: HostIdentity, val correlation: Long) {
        // The credit bounds what is queued; a sender that exceeds it is cut off by the reader.
        val events: Channel<ForwardEvent> = Channel(MAX_EVENTS)
    }

    private val correlations = AtomicLong()
    private val pending = ConcurrentHashMap<Long, Pending>()

    override fun onFrame(from: HostIdentity, frame: LinkFrame) {
        frame.forwardHead?.let { offer(from, it.correlation, ForwardEvent.Head(it)) }
        frame.forwardChunk?.let { offer(from, it.correlation, ForwardEvent.Chunk(it)) }
        frame.forwardEnd?.let { offer(from, it.correlation, ForwardEvent.End(it)) }
    }

    override fun onLinkDown(host: HostIdentity) {
        pending.values.filter { it.host == host }.forEach { it.events.trySend(ForwardEvent.LinkLost) }
    }

    internal fun open(host: HostIdentity): Pending =
        Pending(host, correlations.incrementAndGet()).also { pending[it.correlation] = it }

    internal fun close(request: Pending) {
        pending.remove(request.correlation)
    }

    private fun offer(from: HostIdentity, correlation: Long, event: ForwardEvent) {
        val request = pending[correlation]
        when {
            request == null -> onDrop(DropReason.LATE)

            request.host != from -> onDrop(DropReason.FOREIGN)

            // A full queue loses this part; the reader sees the gap in the sequence and ends with an error.
            request.events.trySend(event).isFailure -> request.events.close()
        }
    }

    private companion object {
        private const val MAX_EVENTS = 4_096
    }
}
