package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.ConsensusMessage
import kotlin.test.Test
import kotlin.test.assertTrue

class DeliberateDefectTest {
    /** Guards against checks that pass whatever the replicas do: each defect has to be found by some seed. */
    @Test
    fun `each deliberate defect is found by a randomised run`() {
        val firstSeeds = defects.mapValues { (_, defect) -> firstFailingSeed(defect) }
        println("defect -> first failing seed: $firstSeeds")
        val missed = firstSeeds.filterValues { it == null }.keys
        assertTrue(missed.isEmpty(), "not found in seeds 1..$MAX_SEED: $missed")
    }

    private fun firstFailingSeed(defect: Defect): Long? = (1..MAX_SEED).firstOrNull { seed ->
        try {
            ConsensusSimulation(seed, defect).run()
            false
        } catch (e: AssertionError) {
            println(e.message?.lineSequence()?.first())
            true
        }
    }

    private companion object {
        const val MAX_SEED = 100L

        val defects: Map<String, Defect> = mapOf(
            "vote not persisted" to object : Defect() {
                override fun write(persist: ConsensusEffect.Persist) = persist.copy(vote = null)
            },
            "entries not persisted" to object : Defect() {
                override fun write(persist: ConsensusEffect.Persist) = persist.copy(entries = emptyList())
            },
            "truncation not persisted" to object : Defect() {
                override fun write(persist: ConsensusEffect.Persist) = persist.copy(truncateFrom = null)
            },
            "synced is reported before the sync" to object : Defect() {
                override val isSyncSkipped = true
            },
            // Pre-votes respect the lease too, so the defect covers both kinds of vote.
            "lease ignored when voting" to onSend { message ->
                message.copy(
                    voteRequest = message.voteRequest?.copy(isTransfer = true),
                    voteReply = message.voteReply?.let { it.copy(isGranted = it.isGranted || it.isPreVote) },
                )
            },
            "append acknowledged beyond its end" to onSend { message ->
                val reply = message.appendReply
                if (reply == null || !reply.isSuccess) return@onSend message
                message.copy(appendReply = reply.copy(matchIndex = reply.matchIndex + 1))
            },
            "every vote granted" to onSend { message ->
                message.copy(voteReply = message.voteReply?.copy(isGranted = true))
            },
            "commit index ahead of the majority" to onSend { message ->
                message.copy(
                    appendRequest = message.appendRequest?.let {
                        it.copy(commitIndex = it.previousIndex + it.entries.size)
                    },
                )
            },
            "logs not compared when voting" to onSend { message ->
                message.copy(
                    voteRequest = message.voteRequest?.copy(lastLogTerm = Long.MAX_VALUE),
                )
            },
            "snapshot loses the term" to onSend { message ->
                message.copy(snapshotRequest = message.snapshotRequest?.copy(lastTerm = 0))
            },
            "snapshot loses the voters" to onSend { message ->
                message.copy(snapshotRequest = message.snapshotRequest?.copy(voters = listOf("n0")))
            },
            "lost disk keeps its identity" to object : Defect() {
                override val isIdentityReused = true
            },
        )

        fun onSend(change: (ConsensusMessage) -> ConsensusMessage): Defect = object : Defect() {
            override fun send(message: ConsensusMessage) = change(message)
        }
    }
}
