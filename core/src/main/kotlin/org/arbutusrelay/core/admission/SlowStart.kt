package org.arbutusrelay.core.admission

/**
 * Slow start of a returning backend server or region: its traffic share grows linearly, because its cache is cold.
 *
 * The share starts at [startPermille] and reaches 1000 after [rampMs] milliseconds.
 */
public class SlowStart(
    private val startedAtMs: Long,
    private val rampMs: Long = 20_000,
    private val startPermille: Long = 250,
) {
    /** Returns the traffic share at [nowMs], in thousandths of the full share. */
    public fun sharePermille(nowMs: Long): Long {
        val elapsedMs = nowMs - startedAtMs
        if (elapsedMs >= rampMs) return FULL_SHARE_PERMILLE
        return startPermille + (FULL_SHARE_PERMILLE - startPermille) * maxOf(0, elapsedMs) / rampMs
    }

    public companion object {
        private const val FULL_SHARE_PERMILLE = 1_000L

        /** Returns a slow start that is already complete. */
        public fun ended(): SlowStart = SlowStart(startedAtMs = 0, rampMs = Long.MIN_VALUE)
    }
}
