package org.arbutusrelay.daemon.consensus

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.arbutusrelay.core.consensus.LeadershipEnd
import org.arbutusrelay.core.consensus.LeadershipEndCause
import org.arbutusrelay.daemon.storage.MemoryConsensusStorage
import org.arbutusrelay.schema.message.AppendReply
import org.arbutusrelay.schema.message.ConsensusMessage
import org.arbutusrelay.schema.message.LinkFrame
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class LeadershipEndTest {
    private val names = listOf("a", "b", "c")

    private class Leader(val fixture: ReplicaGroupFixture, val host: String, val group: ReplicaGroup<Long>)

    private class Case(val cause: LeadershipEndCause, val disturb: suspend (Leader) -> Unit)

    private val cases = listOf(
        Case(LeadershipEndCause.NO_MAJORITY) { it.fixture.cutOff(it.host) },
        Case(LeadershipEndCause.HANDED_OVER) { it.group.transferLeadership() },
        Case(LeadershipEndCause.NEWER_TERM) { leader ->
            val other = names.first { it != leader.host }
            val reply = AppendReply(isSuccess = false, matchIndex = 0, round = 0)
            val message = ConsensusMessage("manifest", other, leader.host, leader.group.term + 5, appendReply = reply)
            leader.fixture.networks.getValue(other).send(leader.host, LinkFrame(consensus = message))
        },
    )

    /** Guards against a leader that stops in its term and leaves no trace of the reason. */
    @Test
    fun `a replica tells once why it has stopped leading`() = cases.forEach { check(it) }

    private fun check(case: Case) = runTest(timeout = 30.seconds) {
        val fixture = ReplicaGroupFixture(names)
        val ends = mutableListOf<Pair<String, LeadershipEnd>>()
        val groups = names.associateWith { name ->
            fixture.startReplica(this, name, MemoryConsensusStorage(), names).also { group ->
                group.addLeadershipListener { ends += name to it }
            }
        }
        val leader = fixture.awaitLeader(groups.values)
        val host = groups.entries.first { it.value === leader }.key
        val term = leader.term
        case.disturb(Leader(fixture, host, leader))
        delay(DISTURBED_MS)
        assertEquals(host to LeadershipEnd(term, case.cause), ends.firstOrNull(), case.cause.id)
        assertEquals(1, ends.count { it.second.term == term }, case.cause.id)
        groups.values.forEach { it.stop() }
    }

    private companion object {
        const val DISTURBED_MS = 20_000L
    }
}
