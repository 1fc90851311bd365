package org.arbutusrelay.relay.exchange

import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.relay.dialect.ReportedLoad

/** Receives what backend servers state of themselves in their responses, for all hosts. */
internal interface StatementListener {
    /** The backend server of [attempt] has [load]. */
    fun onLoad(attempt: PlacedAttempt, load: ReportedLoad)

    /** The backend server of [attempt] is leaving; it repeats this in each response. */
    fun onLeaving(attempt: PlacedAttempt)

    /**
     * The backend server of [attempt] takes [limitPermille] thousandths of a request per second from all hosts.
     *
     * Null if the response, to a request that the server ran, names no limit.
     */
    fun onLimit(attempt: PlacedAttempt, limitPermille: Long?)

    /** Ignores all statements. */
    object None : StatementListener {
        override fun onLoad(attempt: PlacedAttempt, load: ReportedLoad): Unit = Unit

        override fun onLeaving(attempt: PlacedAttempt): Unit = Unit

        override fun onLimit(attempt: PlacedAttempt, limitPermille: Long?): Unit = Unit
    }
}
