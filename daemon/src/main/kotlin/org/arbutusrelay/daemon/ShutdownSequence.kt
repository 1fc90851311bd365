package org.arbutusrelay.daemon

import kotlinx.coroutines.delay
import org.arbutusrelay.core.invariant.Guarantee
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.daemon.membership.MembershipService
import org.arbutusrelay.daemon.request.InFlightRequests

/** Ends the service of this host without interrupting a request. */
public class ShutdownSequence(
    private val membership: MembershipService,
    private val inFlight: InFlightRequests,
    private val invariants: Invariants,
    private val clock: RelayClock,
    private val shutdownTimeoutMs: Long,
) {
    /**
     * Leaves the entry-host list, then refuses new requests once callers have moved on, then waits for those in flight.
     *
     * Returns false when requests were still in flight after the shutdown timeout.
     */
    public suspend fun run(): Boolean {
        membership.startLeaving()
        awaitQuiet()
        inFlight.stopAccepting()
        val isIdle = inFlight.awaitIdle(shutdownTimeoutMs)
        return invariants.check(Guarantee.GRACEFUL_STOP, isIdle) { "${inFlight.count} requests were in flight" }
    }

    private suspend fun awaitQuiet() {
        val startMs = clock.nowMs()
        while (true) {
            val nowMs = clock.nowMs()
            val quietMs = nowMs - maxOf(startMs, inFlight.lastArrivalMs)
            if (quietMs >= QUIET_MS || nowMs - startMs >= LIST_LIFETIME_MS) return
            delay(CHECK_MS)
        }
    }

    private companion object {
        private const val LIST_LIFETIME_MS = 30_000L
        private const val QUIET_MS = 2_000L
        private const val CHECK_MS = 50L
    }
}
