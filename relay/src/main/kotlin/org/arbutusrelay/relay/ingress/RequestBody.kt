package org.arbutusrelay.relay.ingress

import io.netty.buffer.ByteBuf
import org.arbutusrelay.core.relay.BodyBudget
import java.io.ByteArrayOutputStream

/**
 * Collects the body of a request; [lease] holds its memory until the request has ended.
 *
 * [lengthBytes] is the announced length or null, and [maxBytes] the longest body that is accepted. Memory is allocated
 * as the body arrives, and without a copy for a body of the announced length.
 */
internal class RequestBody(val lease: BodyBudget.Lease, private val lengthBytes: Int?, private val maxBytes: Int) {
    private var exact: ByteArray? = null
    private val growing = ByteArrayOutputStream(0)

    var sizeBytes: Int = 0
        private set

    /** Reserves memory for [bytes] more; returns false if there is none now. */
    fun tryReserve(bytes: Int): Boolean =
        lease.tryReserve(sizeBytes.toLong() + bytes, (lengthBytes ?: maxBytes).toLong())

    fun append(content: ByteBuf) {
        val bytes = content.readableBytes()
        val target = exact ?: lengthBytes?.takeIf { sizeBytes + bytes > BodyBudget.PROBE_BYTES }?.let(::toExact)
        if (target == null) content.readBytes(growing, bytes) else content.readBytes(target, sizeBytes, bytes)
        sizeBytes += bytes
    }

    fun toByteArray(): ByteArray = exact ?: growing.toByteArray()

    private fun toExact(lengthBytes: Int): ByteArray = growing.toByteArray().copyOf(lengthBytes).also {
        exact = it
        growing.reset()
    }
}
