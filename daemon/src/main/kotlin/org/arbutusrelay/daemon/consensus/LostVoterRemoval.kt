package org.arbutusrelay.daemon.consensus

import org.apache.logging.log4j.LogManager
import org.arbutusrelay.core.consensus.ConsensusEffect
import org.arbutusrelay.core.consensus.ConsensusNode
import org.arbutusrelay.core.consensus.LostVoter
import java.util.concurrent.atomic.AtomicLong

/** Applies the operator's statement about a lost voter once, after the quiet time; logs and counts the result. */
internal class LostVoterRemoval(private val node: ConsensusNode, lost: LostVoter?, startMs: Long) {
    private val dueMs = startMs + node.config.recoveryQuietMs
    private var open = lost
    private val removed = AtomicLong()
    private val refused = AtomicLong()

    /** Voters that were removed by this process. */
    val removedCount: Long get() = removed.get()

    /** Statements that were refused by this process. */
    val refusedCount: Long get() = refused.get()

    /** Returns the lost voter to remove at [nowMs], once. */
    fun due(nowMs: Long): LostVoter? {
        if (nowMs < dueMs) return null
        return open.also { open = null }
    }

    fun onResult(result: ConsensusEffect.Recovered) {
        val config = node.config
        if (result.refusal == null) {
            removed.incrementAndGet()
            logger.warn(
                "{}: removed lost voter {}; the only voter is now {}",
                config.group,
                result.lost.identity,
                config.self,
            )
        } else {
            refused.incrementAndGet()
            logger.error(
                "{}: lost voter {} not removed: {}; this replica is {} in term {} with voters {}",
                config.group,
                result.lost.identity,
                result.refusal,
                config.self,
                node.term,
                node.voters,
            )
        }
    }

    private companion object {
        private val logger = LogManager.getLogger(LostVoterRemoval::class.java)
    }
}
