package org.arbutusrelay.core.invariant

import java.util.concurrent.atomic.AtomicLongArray

/**
 * Counts violations of the system's guarantees.
 *
 * With [isFatal] a violation throws [InvariantViolation]; tests and randomised runs use this. Without it the violation
 * is counted and reported to [onViolation], and the caller of [check] must refuse the action by the returned value.
 */
public class Invariants(
    private val isFatal: Boolean = true,
    private val onViolation: (Guarantee, String) -> Unit = { _, _ -> },
) {
    private val counts = AtomicLongArray(Guarantee.entries.size)

    /** Returns [isHeld]; records a violation of [guarantee] when it is false. */
    public fun check(guarantee: Guarantee, isHeld: Boolean, detail: () -> String): Boolean {
        if (!isHeld) record(guarantee, detail())
        return isHeld
    }

    /** Returns how often [guarantee] was violated. */
    public fun violations(guarantee: Guarantee): Long = counts.get(guarantee.ordinal)

    private fun record(guarantee: Guarantee, detail: String) {
        counts.incrementAndGet(guarantee.ordinal)
        onViolation(guarantee, detail)
        if (isFatal) throw InvariantViolation(guarantee, detail)
    }
}

/** Thrown when a guarantee is violated and violations are fatal. */
public class InvariantViolation(public val guarantee: Guarantee, detail: String) :
    IllegalStateException("${guarantee.id}: $detail")
