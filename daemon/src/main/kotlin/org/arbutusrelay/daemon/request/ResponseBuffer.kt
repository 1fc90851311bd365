package org.arbutusrelay.daemon.request

import org.arbutusrelay.daemon.backend.ResponseHead
import org.arbutusrelay.daemon.backend.ResponseListener
import org.arbutusrelay.schema.message.StoredResponse
import java.io.ByteArrayOutputStream

/** Keeps a response of at most [maxBytes] until the ledger has stored it; reads and drops the rest of a larger one. */
internal class ResponseBuffer(private val maxBytes: Int = 4 shl 20) : ResponseListener {
    private val bytes = ByteArrayOutputStream()

    var head: ResponseHead = ResponseHead(0, "")
        private set

    /** True when the response did not fit. */
    var isOverflown: Boolean = false
        private set

    override fun onHead(head: ResponseHead): Boolean {
        this.head = head
        return true
    }

    override fun onData(data: ByteArray) {
        isOverflown = isOverflown || bytes.size() + data.size > maxBytes
        if (isOverflown) bytes.reset() else bytes.write(data)
    }

    fun body(): ByteArray = bytes.toByteArray()

    fun toStored(): StoredResponse {
        val isStored = !isOverflown && bytes.size() <= MAX_STORED_BYTES
        val body = if (isStored) body() else ByteArray(0)
        return StoredResponse(head.statusCode.toLong(), head.contentType, body, isStored)
    }

    private companion object {
        // The ledger replicates stored responses, so larger ones would crowd out grants.
        private const val MAX_STORED_BYTES = 256 * 1024
    }
}
