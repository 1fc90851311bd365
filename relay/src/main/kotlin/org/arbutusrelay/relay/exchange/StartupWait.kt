package org.arbutusrelay.relay.exchange

import org.arbutusrelay.relay.dialect.RequestMetadata
import org.arbutusrelay.relay.ingress.IngressRequest

/** Holds a request while this host starts; [isOpen] returns false once the request has been sent or has ended. */
internal class StartupWait(
    private val context: RelayContext,
    private val request: IngressRequest,
    private val isOpen: () -> Boolean,
) {
    private val ageMs get() = context.clock.nowMs() - request.receivedMs

    /** Waits for the first document, for a part of the caller's time; calls [onRoutes] or [onTimeout]. */
    fun awaitRoutes(metadata: RequestMetadata, onRoutes: () -> Unit, onTimeout: () -> Unit) {
        val callerMs = metadata.deadlineMs?.takeUnless { request.isForwarded }
        pollRoutes(callerMs?.let { it / ROUTES_WAIT_DIVISOR } ?: ROUTES_WAIT_MS, onRoutes, onTimeout)
    }

    private fun pollRoutes(waitMs: Long, onRoutes: () -> Unit, onTimeout: () -> Unit) {
        when {
            context.routes.get() != null -> onRoutes()
            mayWait(waitMs) -> poll { pollRoutes(waitMs, onRoutes, onTimeout) }
            else -> onTimeout()
        }
    }

    /** Calls [action] a little later if backend servers may still become known in time; returns false if not. */
    fun tryPoll(deadlineMs: Long, action: () -> Unit): Boolean {
        if (!mayWait((deadlineMs - request.receivedMs) / SERVERS_WAIT_DIVISOR)) return false
        poll(action)
        return true
    }

    private fun mayWait(waitMs: Long) = context.isStartingUp && ageMs < waitMs

    private fun poll(action: () -> Unit) {
        context.schedule(POLL_MS) { if (isOpen()) action() }
    }

    private companion object {
        /**
         * After the start of this host, a request waits for the first document for at most its time divided by this
         * value. Its caller would otherwise come back to a host that has just started as well.
         */
        const val ROUTES_WAIT_DIVISOR = 2

        /**
         * Maximum wait for the first document of other requests: without a deadline, or forwarded by a host that can
         * send them elsewhere.
         */
        const val ROUTES_WAIT_MS = 1_000L

        /** During startup, a request waits for backend servers for at most its timeout divided by this value. */
        const val SERVERS_WAIT_DIVISOR = 4
        const val POLL_MS = 50L
    }
}
