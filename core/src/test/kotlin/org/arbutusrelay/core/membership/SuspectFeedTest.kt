package org.arbutusrelay.core.membership

import org.arbutusrelay.schema.message.SuspectState
import kotlin.test.Test
import kotlin.test.assertEquals

class SuspectFeedTest {
    /**
     * Guards against clearances and further shared crashes that are not distributed to other hosts. In a site run
     * (registry, seed 2) this let one request crash 7 engines.
     */
    @Test
    fun `each change is distributed once and echoes are ignored`() {
        val first = SuspectState("d", 1, 0, "a", 1, totalCrashes = 1)
        val second = SuspectState("d", 1, 0, "b", 7, totalCrashes = 2)
        val cleared = SuspectState("d", 0, 0, totalCrashes = 0)
        data class Case(val suspect: SuspectState, val nowMs: Long, val isNew: Boolean)
        val cases = listOf(
            Case(first, 0, true),
            Case(first.copy(ageMs = 900), 1_000, false),
            Case(second, 1_000, true),
            Case(first.copy(ageMs = 1_000), 1_200, false),
            Case(cleared, 1_500, true),
            Case(second.copy(ageMs = 700), 1_800, false),
            Case(cleared, 2_500, false),
            Case(second.copy(incarnation = 8), 3_000, true),
            Case(cleared, 9_000, true),
        )
        val feed = SuspectFeed()
        cases.forEach { assertEquals(it.isNew, feed.add(it.suspect, it.nowMs), it.toString()) }
        assertEquals(listOf(0L), feed.since(0, 9_000).first.map { it.crashes })
    }
}
