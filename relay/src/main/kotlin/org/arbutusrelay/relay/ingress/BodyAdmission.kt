package org.arbutusrelay.relay.ingress

import org.arbutusrelay.core.relay.BodyBudget

/**
 * Lets connections read request bodies within a limit of [totalBytes].
 *
 * Connections that wait are tried in the order in which they asked for room; one whose body does not fit does not hold
 * up the others, and a body that comes while they wait may take room that is free.
 *
 * Confined to the event loop.
 */
internal class BodyAdmission(totalBytes: Long = defaultBytes()) {
    private val budget = BodyBudget(totalBytes)
    private val waiting = LinkedHashSet<IngressHandler>()
    private var isResumeScheduled = false

    /** Bytes that are reserved for all bodies. */
    val reservedBytes: Long get() = budget.reservedBytes

    /** Number of connections that are not read because there is no room for their body. */
    val waitingCount: Int get() = waiting.size

    fun lease(): BodyBudget.Lease = budget.Lease()

    fun await(handler: IngressHandler) {
        waiting += handler
    }

    fun stopWaiting(handler: IngressHandler) {
        waiting -= handler
    }

    /** Releases [lease] and lets connections that wait read on; repeated calls have no effect. */
    fun release(lease: BodyBudget.Lease) {
        lease.release()
        val first = waiting.firstOrNull() ?: return
        if (isResumeScheduled) return
        isResumeScheduled = true
        // Not called directly, because the request that ended may still be on the call stack.
        first.execute {
            isResumeScheduled = false
            waiting.toList().forEach { it.resumeIfRoom() }
        }
    }

    private companion object {
        /**
         * Bodies are also copied while they are sent, outside the heap, and responses may take as much again; with a
         * sixth of the heap, 96 MB hold three bodies of 4 MB beside the short ones.
         */
        const val HEAP_DIVISOR = 6

        fun defaultBytes(): Long = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR
    }
}
