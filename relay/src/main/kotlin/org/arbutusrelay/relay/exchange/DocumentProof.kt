package org.arbutusrelay.relay.exchange

import org.arbutusrelay.core.error.ErrorKind

/** Tells whether this host can prove that its document is recent enough to decide by the keys in it. */
internal fun interface DocumentProof {
    /** Returns true if requests with a key may be accepted at [nowMs]. */
    fun isCurrent(nowMs: Long): Boolean

    /** Returns when a request that is refused at [nowMs] should be sent again, as the time from then. */
    fun retryAfterMs(nowMs: Long): Long? = ErrorKind.MANIFEST_STALE.retryAfterMs

    companion object {
        /** Used where the revocation of a key is not bound to a time. */
        val NOT_REQUIRED: DocumentProof = DocumentProof { true }
    }
}
