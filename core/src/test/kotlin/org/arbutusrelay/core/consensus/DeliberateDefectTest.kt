package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.ConsensusMessage
import kotlin.test.Test
import kotlin.test.assertTrue

class DeliberateDefectTest {
    /** Guards against checks that never fail: at least one seed must detect each defect. */
    @Test
    fun `each injected defect is detected by a randomised run`() {
        val firstSeeds = defects.mapValues { (_, defect) -> firstFailingSeed(defect) }
        println("defect -> first failing seed: $firstSeeds")
        val undetected = firstSeeds.filterValues { it == null }.keys
        assertTrue(undetected.isEmpty(), "not detected in seeds 1..$MAX_SEED: $undetected")
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
            "write reported as synced before the sync" to object : Defect() {
                override val isSyncSkipped = true
            },
            // The lease also applies to pre-votes, so the defect covers both kinds of votes.
            "lease ignored when voting" to onSend { message ->
                message.copy(
                    voteRequest = message.voteRequest?.copy(isTransfer = true),
                    voteReply = message.voteReply?.let { it.copy(isGranted = it.isGranted || it.isPreVote) },
                )
            },
            "append acknowledged beyond the last entry" to onSend { message ->
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
            "log not compared when voting" to onSend { message ->
                message.copy(
                    voteRequest = message.voteRequest?.copy(lastLogTerm = Long.MAX_VALUE),
                )
            },
            "snapshot without its term" to onSend { message ->
                message.copy(snapshotRequest = message.snapshotRequest?.copy(lastTerm = 0))
            },
            "snapshot without all voters" to onSend { message ->
                message.copy(snapshotRequest = message.snapshotRequest?.copy(voters = listOf("n0")))
            },
            "identity reused after disk loss" to object : Defect() {
                override val isIdentityReused = true
            },
        )

        fun onSend(change: (ConsensusMessage) -> ConsensusMessage): Defect = object : Defect() {
            override fun send(message: ConsensusMessage) = change(message)
        }
    }
}
