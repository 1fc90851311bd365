package org.arbutusrelay.daemon.request

import kotlinx.coroutines.delay
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.backend.CallerDisconnectedException
import org.arbutusrelay.daemon.backend.ResponseHead
import org.arbutusrelay.daemon.backend.ResponseListener
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.schema.message.ForwardChunk
import org.arbutusrelay.schema.message.ForwardEnd
import org.arbutusrelay.schema.message.ForwardHead
import org.arbutusrelay.schema.message.ForwardRequest
import org.arbutusrelay.schema.message.LinkFrame
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Sends the response to a forwarded request back over the link, within the credit that the receiver gives.
 *
 * A non-idempotent run is not interrupted when the receiver goes away: its response is then read and dropped.
 */
internal class ForwardSink(
    private val network: LinkNetwork,
    private val to: HostIdentity,
    private val forward: ForwardRequest,
    private val deadlineMs: Long,
    private val clock: RelayClock,
) : ResponseListener {
    private val lock = ReentrantLock()
    private val creditAdded = lock.newCondition()
    private var creditBytes = forward.creditBytes
    private var isAbandoned = false
    private var chunks = 0L

    /** Allows [bytes] more to be sent. */
    fun addCredit(bytes: Long) = lock.withLock {
        // The bound keeps a receiver that gives too much credit from overflowing the counter.
        creditBytes = (creditBytes + bytes).coerceAtMost(MAX_CREDIT_BYTES)
        creditAdded.signalAll()
    }

    /** Records that nobody receives the response any more. */
    fun abandon() = lock.withLock {
        isAbandoned = true
        creditAdded.signalAll()
    }

    override fun onHead(head: ResponseHead): Boolean {
        val frame = ForwardHead(forward.correlation, head.statusCode.toLong(), head.contentType, head.backendServer)
        send(LinkFrame(forwardHead = frame))
        return true
    }

    override fun onData(data: ByteArray) {
        for (start in data.indices step CHUNK_BYTES) {
            val part = data.copyOfRange(start, minOf(start + CHUNK_BYTES, data.size))
            takeCredit(part.size)
            send(LinkFrame(forwardChunk = ForwardChunk(forward.correlation, chunks, part)))
            chunks++
        }
    }

    /** Ends the response; [error] is null when it is complete. */
    suspend fun end(error: RelayError?) {
        val frame = LinkFrame(forwardEnd = ForwardEnd(forward.correlation, error?.kind?.id, error?.detail, chunks))
        // A link that is down has told the receiver that the response broke off.
        while (!network.send(to.hostName, frame)) {
            if (clock.nowMs() >= deadlineMs || to.hostName !in network.connected()) return
            delay(FULL_QUEUE_WAIT_MS)
        }
    }

    private fun takeCredit(bytes: Int) = lock.withLock {
        while (creditBytes < bytes && !isAbandoned) {
            val remainingMs = deadlineMs - clock.nowMs()
            if (remainingMs <= 0 || !creditAdded.await(remainingMs, TimeUnit.MILLISECONDS)) isAbandoned = true
        }
        creditBytes -= bytes
    }

    private fun send(frame: LinkFrame) {
        while (!lock.withLock { isAbandoned }) {
            if (network.send(to.hostName, frame)) return
            lock.withLock {
                creditAdded.await(FULL_QUEUE_WAIT_MS, TimeUnit.MILLISECONDS)
                if (clock.nowMs() >= deadlineMs || to.hostName !in network.connected()) isAbandoned = true
            }
        }
        if (!forward.isGranted) throw CallerDisconnectedException()
    }

    private companion object {
        private const val CHUNK_BYTES = 16_384
        private const val MAX_CREDIT_BYTES = 1L shl 30
        private const val FULL_QUEUE_WAIT_MS = 5L
    }
}
