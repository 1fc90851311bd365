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

/** A frame or the abort of a response to a forwarded request. */
internal sealed interface ForwardEvent {
    class Head(val head: ForwardHead) : ForwardEvent

    class Chunk(val chunk: ForwardChunk) : ForwardEvent

    class End(val end: ForwardEnd) : ForwardEvent

    data object Aborted : ForwardEvent
}

/**
 * Dispatches response frames to the pending forwarded requests by their correlation identifier.
 *
 * A frame without a pending request, or from another process than the request was sent to, is dropped and counted.
 */
public class ForwardResponseDispatcher(private val onDrop: (DropReason) -> Unit) : FrameReceiver {
    internal class Pending(val host: HostIdentity, val correlation: Long) {
        // The credit limits the queued data; if a sender exceeds it and fills the queue, the queue is closed.
        val events: Channel<ForwardEvent> = Channel(MAX_QUEUED_EVENTS)
    }

    private val lastCorrelation = AtomicLong()
    private val pending = ConcurrentHashMap<Long, Pending>()

    override fun onFrame(from: HostIdentity, frame: LinkFrame) {
        frame.forwardHead?.let { dispatch(from, it.correlation, ForwardEvent.Head(it)) }
        frame.forwardChunk?.let { dispatch(from, it.correlation, ForwardEvent.Chunk(it)) }
        frame.forwardEnd?.let { dispatch(from, it.correlation, ForwardEvent.End(it)) }
    }

    override fun onLinkDown(host: HostIdentity) {
        pending.values.filter { it.host == host }.forEach { it.events.trySend(ForwardEvent.Aborted) }
    }

    internal fun register(host: HostIdentity): Pending =
        Pending(host, lastCorrelation.incrementAndGet()).also { pending[it.correlation] = it }

    internal fun unregister(request: Pending) {
        pending.remove(request.correlation)
    }

    private fun dispatch(from: HostIdentity, correlation: Long, event: ForwardEvent) {
        val request = pending[correlation]
        when {
            request == null -> onDrop(DropReason.LATE)

            request.host != from -> onDrop(DropReason.FOREIGN)

            // The queue is full and this event is lost; closing the queue makes the reader fail the response.
            request.events.trySend(event).isFailure -> request.events.close()
        }
    }

    private companion object {
        private const val MAX_QUEUED_EVENTS = 4_096
    }
}
