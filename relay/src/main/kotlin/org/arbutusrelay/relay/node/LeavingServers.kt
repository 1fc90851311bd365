package org.arbutusrelay.relay.node

import org.arbutusrelay.core.routing.PlacedAttempt

/**
 * Reports each incarnation of a backend server that states that it is leaving once to [onLeaving].
 *
 * Such a server repeats the statement in each of its responses. Confined to the event loop.
 */
internal class LeavingServers(private val onLeaving: (name: String, incarnation: Long) -> Unit) {
    private val incarnations = LinkedHashMap<String, Long>()

    fun record(attempt: PlacedAttempt) {
        if (incarnations.put(attempt.backendServer, attempt.incarnation) == attempt.incarnation) return
        if (incarnations.size > MAX_SERVERS) incarnations.remove(incarnations.keys.first())
        onLeaving(attempt.backendServer, attempt.incarnation)
    }

    private companion object {
        /** More than leave a region within the time for which departures are kept; a repeated report is harmless. */
        const val MAX_SERVERS = 1_000
    }
}
