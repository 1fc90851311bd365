package org.arbutusrelay.daemon.consensus

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

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

    /** Guards against a group that survives fewer losses than before because a voter is away for a moment. */
    @Test
    fun `a change of voters never lowers the number of losses that the group survives`() {
        data class Case(
            val voters: List<String>,
            val announced: List<String>,
            val away: Set<String>,
            val expected: List<String>,
        )
        val five = listOf("a", "b", "c", "d", "e")
        val six = five + "f"
        val cases = listOf(
            Case(five, listOf("d#1"), setOf("c", "d"), listOf("a", "b", "c", "e", "d#1")),
            Case(five, listOf("f#1"), setOf("c"), listOf("a", "b", "d", "e", "f#1")),
            Case(five, listOf("f#1"), setOf("c", "d"), listOf("a", "b", "d", "e", "f#1")),
            Case(five, listOf("f#1", "g#1"), setOf("c", "d"), listOf("a", "b", "e", "f#1", "g#1")),
            Case(five, emptyList(), setOf("c"), five),
            Case(six, emptyList(), setOf("c"), listOf("a", "b", "d", "e", "f")),
            Case(six, emptyList(), setOf("c", "d"), listOf("a", "b", "d", "e", "f")),
            Case(six, listOf("f#1"), setOf("f"), five + "f#1"),
        )
        for (case in cases) {
            val planner = ReconfigurationPlanner({ ('a'..'g').map { "$it" }.toSet() }, 7, replaceAfterMs = 1_500)
            var current = case.voters
            val running = current.filter { it !in case.away } + case.announced
            planner.onReachable(current.toSet(), current, 0)
            while (true) {
                planner.onReachable(running.toSet(), current.filter { it !in case.announced }, 2_000)
                case.announced.forEach { planner.onAnnouncement(it, 2_000) }
                val next = planner.nextVoters(current, 2_000) ?: break
                assertTrue(survivedLosses(next, running) >= survivedLosses(current, running), "$case: $current, $next")
                current = next
            }
            assertEquals(case.expected, current, "$case")
        }
    }

    /** Guards against a removal of a voter whose last contact dates from an earlier time as leader. */
    @Test
    fun `the time without contact counts from the start of a leadership`() {
        val planner = ReconfigurationPlanner({ setOf("a", "b", "c", "d") }, maxVoters = 5, replaceAfterMs = 1_500)
        planner.onReachable(setOf("a", "b", "c"), listOf("a", "b", "c"), 0)
        planner.onFollower()
        planner.onReachable(setOf("a", "b"), listOf("a", "b", "c"), 60_000)
        planner.onAnnouncement("d#1", 60_000)
        assertEquals(listOf("a", "b", "c", "d#1"), planner.nextVoters(listOf("a", "b", "c"), 60_000))
    }

    private fun survivedLosses(voters: List<String>, running: List<String>) =
        voters.count { it in running } - (voters.size / 2 + 1)
}
