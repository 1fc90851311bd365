package org.arbutusrelay.daemon.consensus

import org.apache.logging.log4j.LogManager
import org.arbutusrelay.core.consensus.ConsensusEffect
import org.arbutusrelay.core.consensus.ConsensusNode
import org.arbutusrelay.core.consensus.LostVoter
import java.util.concurrent.atomic.AtomicLong

/** Removes the lost voter named by the operator, once, after `recoveryQuietMs`; logs and counts the result. */
internal class LostVoterRemoval(private val node: ConsensusNode, lostVoter: LostVoter?, startMs: Long) {
    private val dueMs = startMs + node.config.recoveryQuietMs
    private var pending = lostVoter
    private val removed = AtomicLong()
    private val refused = AtomicLong()

    /** Number of voters removed by this process. */
    val removedCount: Long get() = removed.get()

    /** Number of removals refused by this process. */
    val refusedCount: Long get() = refused.get()

    /** Returns the lost voter once its removal is due at [nowMs]; later calls return null. */
    fun pollDue(nowMs: Long): LostVoter? {
        if (nowMs < dueMs) return null
        return pending.also { pending = null }
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
