package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.ReplicatedCommand

/**
 * Deterministic state machine that a consensus group replicates.
 *
 * Every replica applies the same commands in the same order, so [apply] must not depend on a clock or on random
 * numbers. Implementations need not be thread-safe.
 */
public interface StateMachine<R> {
    /** Applies the committed [command] at log index [index] and returns its result. */
    public fun apply(index: Long, command: ReplicatedCommand): R

    /** Returns the serialized state, which [restore] accepts. */
    public fun snapshot(): ByteArray

    /** Replaces the state with a [snapshot] returned by [StateMachine.snapshot]. */
    public fun restore(snapshot: ByteArray)
}
