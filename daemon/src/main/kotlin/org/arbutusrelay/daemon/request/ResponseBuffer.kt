package org.arbutusrelay.daemon.request

import org.arbutusrelay.daemon.backend.ResponseHead
import org.arbutusrelay.daemon.backend.ResponseListener
import org.arbutusrelay.schema.message.StoredResponse
import java.io.ByteArrayOutputStream

/** Buffers a response until the ledger has stored it; discards the body if it exceeds [maxBytes]. */
internal class ResponseBuffer(private val maxBytes: Int = 4 shl 20) : ResponseListener {
    private val bytes = ByteArrayOutputStream()

    var head: ResponseHead = ResponseHead(0, "")
        private set

    /** True if the response exceeded the limit. */
    var isOverflowed: Boolean = false
        private set

    override fun onHead(head: ResponseHead): Boolean {
        this.head = head
        return true
    }

    override fun onData(data: ByteArray) {
        isOverflowed = isOverflowed || bytes.size() + data.size > maxBytes
        if (isOverflowed) bytes.reset() else bytes.write(data)
    }

    fun body(): ByteArray = bytes.toByteArray()

    fun toStored(): StoredResponse {
        val isStored = !isOverflowed && bytes.size() <= MAX_STORED_BYTES
        val body = if (isStored) body() else ByteArray(0)
        return StoredResponse(head.statusCode.toLong(), head.contentType, body, isStored)
    }

    private companion object {
        // The ledger replicates stored responses; larger ones would compete with grants for its throughput.
        private const val MAX_STORED_BYTES = 256 * 1024
    }
}
