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
 * Sends the response to a forwarded request over the link, limited by the credit that the receiver grants.
 *
 * If the receiver disconnects, a non-idempotent run continues and its response is discarded.
 */
internal class ForwardResponseSender(
    private val network: LinkNetwork,
    private val receiver: HostIdentity,
    private val forward: ForwardRequest,
    private val deadlineMs: Long,
    private val clock: RelayClock,
) : ResponseListener {
    private val lock = ReentrantLock()
    private val creditAdded = lock.newCondition()
    private var creditBytes = forward.creditBytes
    private var isCancelled = false
    private var sentChunks = 0L

    /** Adds [bytes] to the credit for sending. */
    fun addCredit(bytes: Long) = lock.withLock {
        // The limit prevents a counter overflow if a receiver grants too much credit.
        creditBytes = (creditBytes + bytes).coerceAtMost(MAX_CREDIT_BYTES)
        creditAdded.signalAll()
    }

    /** Stops sending, because the receiver no longer reads the response. */
    fun cancel() = lock.withLock {
        isCancelled = true
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
            acquireCredit(part.size)
            send(LinkFrame(forwardChunk = ForwardChunk(forward.correlation, sentChunks, part)))
            sentChunks++
        }
    }

    /** Sends the end of the response; [error] is null if the response is complete. */
    suspend fun end(error: RelayError?) {
        val frame = LinkFrame(forwardEnd = ForwardEnd(forward.correlation, error?.kind?.id, error?.detail, sentChunks))
        // If the link is down, the receiver has already detected the broken response.
        while (!network.send(receiver.hostName, frame)) {
            if (clock.nowMs() >= deadlineMs || receiver.hostName !in network.connected()) return
            delay(SEND_RETRY_INTERVAL_MS)
        }
    }

    private fun acquireCredit(bytes: Int) = lock.withLock {
        while (creditBytes < bytes && !isCancelled) {
            val remainingMs = deadlineMs - clock.nowMs()
            if (remainingMs <= 0 || !creditAdded.await(remainingMs, TimeUnit.MILLISECONDS)) isCancelled = true
        }
        creditBytes -= bytes
    }

    private fun send(frame: LinkFrame) {
        while (!lock.withLock { isCancelled }) {
            if (network.send(receiver.hostName, frame)) return
            lock.withLock {
                creditAdded.await(SEND_RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS)
                if (clock.nowMs() >= deadlineMs || receiver.hostName !in network.connected()) isCancelled = true
            }
        }
        if (!forward.isGranted) throw CallerDisconnectedException()
    }

    private companion object {
        private const val CHUNK_BYTES = 16_384
        private const val MAX_CREDIT_BYTES = 1L shl 30
        private const val SEND_RETRY_INTERVAL_MS = 5L
    }
}
