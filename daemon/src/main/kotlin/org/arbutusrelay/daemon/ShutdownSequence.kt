package org.arbutusrelay.daemon

import kotlinx.coroutines.delay
import org.arbutusrelay.core.invariant.Guarantee
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.daemon.membership.MembershipService
import org.arbutusrelay.daemon.request.InFlightRequests

/** Takes this host out of service without interrupting requests. */
public class ShutdownSequence(
    private val membership: MembershipService,
    private val inFlight: InFlightRequests,
    private val invariants: Invariants,
    private val clock: RelayClock,
    private val shutdownTimeoutMs: Long,
) {
    /**
     * Leaves the entry-host list, waits for a period without new requests, then refuses new requests and waits for
     * those in flight.
     *
     * The wait for a quiet period ends at the latest when the entry-host lists that callers have cached are expired.
     *
     * Returns false when requests were still in flight after the shutdown timeout.
     */
    public suspend fun run(): Boolean {
        membership.startLeaving()
        awaitQuietPeriod()
        inFlight.stopAccepting()
        val isIdle = inFlight.awaitIdle(shutdownTimeoutMs)
        return invariants.check(Guarantee.GRACEFUL_STOP, isIdle) { "${inFlight.count} requests were in flight" }
    }

    private suspend fun awaitQuietPeriod() {
        val startMs = clock.nowMs()
        while (true) {
            val nowMs = clock.nowMs()
            val sinceLastArrivalMs = nowMs - maxOf(startMs, inFlight.lastArrivalMs)
            if (sinceLastArrivalMs >= QUIET_PERIOD_MS || nowMs - startMs >= ENTRY_HOST_LIST_LIFETIME_MS) return
            delay(POLL_INTERVAL_MS)
        }
    }

    private companion object {
        private const val ENTRY_HOST_LIST_LIFETIME_MS = 30_000L
        private const val QUIET_PERIOD_MS = 2_000L
        private const val POLL_INTERVAL_MS = 50L
    }
}
