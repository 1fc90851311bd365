package org.arbutusrelay.core.tenancy.quota

/**
 * Share of the quotas that a state host owns: 1 / number of voters.
 *
 * A smaller share applies at once, a larger one only after [GROWTH_DELAY_MS], when a voter that was removed without
 * knowing it has stopped granting. Hosts that are no voters or not in touch with a majority own nothing.
 */
public class QuotaShare {
    private var current = 0.0
    private var largerSinceMs = Long.MAX_VALUE
    private var checkedMs = Long.MIN_VALUE / 2

    /**
     * Returns the share at [nowMs] of a host that knows of [voters] voters; call it at least every [MAX_GAP_MS].
     *
     * [isActive] is false while the host is not a voter, or lacks the contact or the proof to grant. The share is 0
     * once after a longer gap, because a process that was suspended does not know what has changed meanwhile.
     */
    public fun update(voters: Int, isActive: Boolean, nowMs: Long): Double {
        val wasSuspended = nowMs - checkedMs > MAX_GAP_MS
        checkedMs = nowMs
        val wanted = 1.0 / maxOf(1, voters)
        when {
            !isActive || wasSuspended -> reset(0.0)
            current == 0.0 || wanted <= current -> reset(wanted)
            largerSinceMs == Long.MAX_VALUE -> largerSinceMs = nowMs
            nowMs - largerSinceMs >= GROWTH_DELAY_MS -> reset(wanted)
        }
        return current
    }

    private fun reset(share: Double) {
        current = share
        largerSinceMs = Long.MAX_VALUE
    }

    public companion object {
        /** Longer than a proof counts (5 s) and than a silent link is kept (2.5 s), with a margin. */
        public const val GROWTH_DELAY_MS: Long = 8_000

        /** The shell updates every 20 ms; pauses of the runtime and of the machine stay below this. */
        public const val MAX_GAP_MS: Long = 1_500
    }
}
