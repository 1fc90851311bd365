package org.arbutusrelay.core.site

import org.arbutusrelay.schema.message.DocumentRecord
import org.arbutusrelay.schema.message.EvacuationChange
import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.ReplicatedCommand
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class SiteStateMachineTest {
    private fun document(number: Long, text: String = "v$number") =
        ReplicatedCommand(document = DocumentRecord(number, "", text.encodeToByteArray()))

    private fun evacuation(zone: String, isEvacuated: Boolean) =
        ReplicatedCommand(evacuation = EvacuationChange(zone, isEvacuated))

    /** Guards against a late or repeated command that restores an older document or replaces one of equal number. */
    @Test
    fun `only a document with a higher number replaces the current one`() {
        data class Case(val numbers: List<Pair<Long, String>>, val expected: String)
        val cases = listOf(
            Case(listOf(1L to "a", 3L to "b", 2L to "c"), "b"),
            Case(listOf(1L to "a", 1L to "b"), "a"),
            Case(listOf(0L to "a"), "a"),
        )
        for (case in cases) {
            val machine = SiteStateMachine()
            case.numbers.forEachIndexed { index, (number, text) -> machine.apply(index + 1L, document(number, text)) }
            assertEquals(case.expected, machine.current.document?.content?.decodeToString(), "$case")
        }
    }

    /** Guards against a zone that stays evacuated because its evacuation was requested twice. */
    @Test
    fun `one command ends a repeated evacuation`() {
        val machine = SiteStateMachine()
        listOf(true, true, false).forEachIndexed { index, isEvacuated ->
            machine.apply(index + 1L, evacuation("hue-a", isEvacuated))
        }
        assertEquals(emptyList(), machine.current.evacuatedZones)
    }

    /** Guards against a restart that loses acknowledged commands. */
    @Test
    fun `a snapshot restores the whole state`() {
        val machine = SiteStateMachine()
        machine.apply(1, document(7))
        machine.apply(2, evacuation("hue-a", true))
        val notifiedIndexes = ArrayList<Long>()
        val restored = SiteStateMachine { notifiedIndexes += it.index }
        restored.restore(machine.snapshot())
        assertEquals(
            "v7" to listOf("hue-a"),
            restored.current.let {
                it.document?.content?.decodeToString() to
                    it.evacuatedZones
            },
        )
        assertEquals(listOf(2L), notifiedIndexes)
    }
}

class HostRegistryTest {
    private fun host(epoch: Long, version: Long, isLeaving: Boolean = false, isStateHost: Boolean = false) =
        HostState("10.0.0.1", "hue", "hue-a", epoch, version, "", "10.0.0.1:80", 0, 0, isLeaving, isStateHost)

    /** Guards against callers directed to a stopped host because of a delayed report. */
    @Test
    fun `the newest version of the most recently reported epoch is used`() {
        val registry = HostRegistry()
        registry.recordReport(host(1, 2, isLeaving = true), 1_000)
        assertFalse(registry.merge(host(1, 1), 0, 1_100), "older version")
        assertEquals(true, registry.live(1_100).single().isLeaving)
        registry.recordReport(host(2, 1), 1_200)
        assertFalse(registry.merge(host(1, 9), 500, 1_300), "epoch with an earlier report")
        assertEquals(2, registry.live(1_300).single().epoch)
    }

    /** Guards against a dead host in the directory, and against a state host that is never reconnected to. */
    @Test
    fun `a host without reports expires, and a state host is retained longer`() {
        data class Case(val isStateHost: Boolean, val nowMs: Long, val live: Int, val known: Int)
        val cases = listOf(
            Case(false, 3_500, 1, 1),
            Case(false, 3_501, 0, 0),
            Case(true, 3_501, 0, 1),
            Case(true, 60_001, 0, 0),
        )
        for (case in cases) {
            val registry = HostRegistry()
            registry.recordReport(host(1, 1, isStateHost = case.isStateHost), 0)
            registry.tick(case.nowMs)
            assertEquals(case.live, registry.live(case.nowMs).size, "$case")
            assertEquals(case.known, registry.hosts(case.nowMs).size, "$case")
        }
    }
}
