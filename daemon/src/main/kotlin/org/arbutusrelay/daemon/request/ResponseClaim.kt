package org.arbutusrelay.daemon.request

import org.arbutusrelay.core.invariant.Guarantee
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.daemon.backend.DropReason
import org.arbutusrelay.daemon.backend.ResponseHead
import org.arbutusrelay.daemon.backend.ResponseListener
import java.util.concurrent.atomic.AtomicReference

/** Ensures that only one attempt of a request responds to the caller: the first to receive a response head. */
internal class ResponseClaim(
    private val request: ResolvedRequest,
    private val sink: ResponseListener,
    private val invariants: Invariants,
    private val onDrop: (DropReason) -> Unit,
) {
    private val owner = AtomicReference<PlacedAttempt>()

    /** True once an attempt has claimed the response. */
    val isClaimed: Boolean get() = owner.get() != null

    /** Returns the listener for the response of [attempt]; calls [onFirstByte] if the attempt wins the claim. */
    fun listener(attempt: PlacedAttempt, onFirstByte: () -> Unit): ResponseListener = object : ResponseListener {
        override fun onHead(head: ResponseHead): Boolean {
            val isSameRequest = invariants.check(Guarantee.RESPONSE_OWNER, attempt.profile.id == request.id) {
                "the response to ${attempt.profile.id} was delivered to ${request.id}"
            }
            if (!isSameRequest) return false
            if (!owner.compareAndSet(null, attempt)) return false.also { onDrop(DropReason.LATE) }
            onFirstByte()
            return sink.onHead(head)
        }

        override fun onData(data: ByteArray) {
            val isOwner = invariants.check(Guarantee.RESPONSE_OWNER, owner.get() === attempt) {
                "two attempts of ${request.id} respond"
            }
            if (isOwner) sink.onData(data)
        }
    }
}
