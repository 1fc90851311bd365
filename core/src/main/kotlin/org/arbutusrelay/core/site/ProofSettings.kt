package org.arbutusrelay.core.site

/** Limits and intervals of [StateProof]; all in milliseconds. */
public data class ProofSettings(
    /** Time after the acknowledgement of a document from which on a key that it took away must not be served. */
    val revocationMs: Long,
    /** Interval between queries while the proof is as young as expected. */
    val intervalMs: Long,
    /** Interval between queries while the proof is missing or older than [expectedAgeMs]. */
    val urgentIntervalMs: Long,
    /** Highest age of the proof without a fault. */
    val expectedAgeMs: Long,
) {
    /** Age at which a proof is no longer current. */
    val maxAgeMs: Long = revocationMs - revocationMs * DRIFT_PERCENT / 100 - ROUNDING_MS

    public companion object {
        /** Twice the drift that the consensus configuration allows for one clock. */
        private const val DRIFT_PERCENT = 2

        /** Three clocks (leader, state host, entry host) are read twice each, rounded to milliseconds. */
        private const val ROUNDING_MS = 6L

        /**
         * Settings of an entry host.
         *
         * Without a fault, the proof is at most about 1,800 ms old: a heartbeat interval of 120 ms, the queries of the
         * state host (300 ms) and of the entry host (1,000 ms), and three round trips of 110 ms between regions.
         */
        public fun entryHost(revocationMs: Long): ProofSettings =
            ProofSettings(revocationMs, intervalMs = 1_000, urgentIntervalMs = 250, expectedAgeMs = 2_000)

        /** Settings of a state host; its interval adds to the age of each proof of the site. */
        public fun stateHost(revocationMs: Long): ProofSettings =
            ProofSettings(revocationMs, intervalMs = 300, urgentIntervalMs = 300, expectedAgeMs = 1_000)
    }
}
