package org.arbutusrelay.daemon.consensus

import kotlin.test.Test
import kotlin.test.assertEquals

class ReconfigurationPlannerTest {
    /** Guards against a failed voter that stays after its replacement, and against removal after a short link loss. */
    @Test
    fun `an unreachable voter is removed only when a new replica is available`() {
        data class Case(
            val voters: List<String>,
            val announced: String?,
            val reachable: Set<String>,
            val unreachableMs: Long,
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
            val planner =
                ReconfigurationPlanner({ setOf("a", "b", "c", "d", "e", "f") }, maxVoters = 5, replaceAfterMs = 1_500)
            planner.onReachable(case.voters.toSet(), case.voters, 0)
            planner.onReachable(case.reachable, case.voters, case.unreachableMs)
            case.announced?.let { planner.onAnnouncement(it, case.unreachableMs) }
            assertEquals(case.expected, planner.nextVoters(case.voters, case.unreachableMs), "$case")
        }
    }
}
