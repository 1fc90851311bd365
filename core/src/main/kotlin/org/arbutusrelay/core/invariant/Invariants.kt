package org.arbutusrelay.core.invariant

import java.util.concurrent.atomic.AtomicLongArray

/**
 * Checks the system's guarantees and counts violations.
 *
 * Each violation is counted and reported to [onViolation]. If [isFatal] is set, as in tests and randomised runs,
 * it also throws [InvariantViolation]; otherwise the caller of [check] must reject the action if false is returned.
 */
public class Invariants(
    private val isFatal: Boolean = true,
    private val onViolation: (Guarantee, String) -> Unit = { _, _ -> },
) {
    private val counts = AtomicLongArray(Guarantee.entries.size)

    /** Returns [isSatisfied]; records a violation of [guarantee] if it is false. */
    public fun check(guarantee: Guarantee, isSatisfied: Boolean, detail: () -> String): Boolean {
        if (!isSatisfied) record(guarantee, detail())
        return isSatisfied
    }

    /** Returns the number of violations of [guarantee]. */
    public fun violations(guarantee: Guarantee): Long = counts.get(guarantee.ordinal)

    private fun record(guarantee: Guarantee, detail: String) {
        counts.incrementAndGet(guarantee.ordinal)
        onViolation(guarantee, detail)
        if (isFatal) throw InvariantViolation(guarantee, detail)
    }
}

/** Thrown on a violation of a guarantee if violations are fatal. */
public class InvariantViolation(public val guarantee: Guarantee, detail: String) :
    IllegalStateException("${guarantee.id}: $detail")
