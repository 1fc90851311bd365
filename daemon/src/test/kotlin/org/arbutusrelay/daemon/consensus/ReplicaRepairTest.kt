package org.arbutusrelay.daemon.consensus

import kotlin.test.Test
import kotlin.test.assertEquals

class ReplicaRepairTest {
    /** Guards against a dead voter that stays beside its successor, and against one that is removed for a short cut. */
    @Test
    fun `a voter out of reach makes room only for a replica that waits`() {
        data class Case(
            val voters: List<String>,
            val announced: String?,
            val reachable: Set<String>,
            val silentMs: Long,
            val expected: List<String>?,
        )
        val voters = listOf("a", "b", "c")
        val cases = listOf(
            Case(voters, null, setOf("a", "b"), 9_000, null),
            Case(voters, "d#1", setOf("a", "b", "c"), 9_000, voters + "d#1"),
            Case(voters, "d#1", setOf("a", "b"), 1_000, voters + "d#1"),
            Case(voters, "d#1", setOf("a", "b"), 2_000, listOf("a", "b")),
            Case(voters, "c#1", setOf("a", "b", "c"), 0, listOf("a", "b")),
            Case(voters + listOf("d", "e"), "f#1", setOf("a", "b", "c", "d", "e"), 0, null),
        )
        for (case in cases) {
            val repair = ReplicaRepair({ setOf("a", "b", "c", "d", "e", "f") }, maxVoters = 5, replaceAfterMs = 1_500)
            repair.onReachable(case.voters.toSet(), case.voters, 0)
            repair.onReachable(case.reachable, case.voters, case.silentMs)
            case.announced?.let { repair.onAnnouncement(it, case.silentMs) }
            assertEquals(case.expected, repair.nextVoters(case.voters, case.silentMs), "$case")
        }
    }
}
