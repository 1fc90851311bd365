package org.arbutusrelay.core.admission

/**
 * Gives a returning backend server or region a share of its work that grows linearly, because its cache is cold.
 *
 * The share begins at [startPermille] and reaches 1000 after [rampMs] milliseconds.
 */
public class SlowStart(
    private val startedAtMs: Long,
    private val rampMs: Long = 20_000,
    private val startPermille: Long = 250,
) {
    /** Returns the share at [nowMs], in thousandths. */
    public fun sharePermille(nowMs: Long): Long {
        val elapsed = nowMs - startedAtMs
        if (elapsed >= rampMs) return FULL
        return startPermille + (FULL - startPermille) * maxOf(0, elapsed) / rampMs
    }

    public companion object {
        private const val FULL = 1_000L

        /** Returns a ramp that has ended. */
        public fun ended(): SlowStart = SlowStart(startedAtMs = 0, rampMs = Long.MIN_VALUE)
    }
}
