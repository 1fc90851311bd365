package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.ReplicatedCommand

/**
 * The deterministic state machine that a consensus group replicates.
 *
 * Every replica applies the same commands in the same order, so [apply] may use neither a clock nor a random source.
 * Calls come from one thread at a time.
 */
public interface StateMachine<R> {
    /** Applies the committed [command] at log position [index] and returns its result. */
    public fun apply(index: Long, command: ReplicatedCommand): R

    /** Returns the whole state in a form that [restore] reads. */
    public fun snapshot(): ByteArray

    /** Replaces the state with the one that [snapshot] returned. */
    public fun restore(snapshot: ByteArray)
}
