package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.ManifestRecord
import org.arbutusrelay.schema.message.ReplicatedCommand
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class LogMemoryTest {
    /** Guards against a log of long commands that exhausts the memory, because only its entries are limited. */
    @Test
    fun `entries before the latest snapshot are limited in number and in bytes`() {
        data class Case(val commandBytes: Int, val trailingEntries: Int, val trailingBytes: Long, val kept: Int)
        val cases = listOf(
            Case(commandBytes = 500_000, trailingEntries = 1_000, trailingBytes = 4_000_000, kept = 8),
            Case(commandBytes = 500_000, trailingEntries = 5, trailingBytes = 4_000_000, kept = 5),
            Case(commandBytes = 5_000_000, trailingEntries = 1_000, trailingBytes = 4_000_000, kept = 0),
            Case(commandBytes = 256, trailingEntries = 100, trailingBytes = 4_000_000, kept = 100),
        )
        for (case in cases) {
            val node = singleVoter(case.commandBytes, case.trailingEntries, case.trailingBytes)
            repeat(300) { propose(node, it.toLong()) }
            assertEquals(300, node.commitIndex - 1, "$case")
            node.step(ConsensusEvent.SnapshotTaken(node.commitIndex, ByteArray(1)), NOW_MS)
            val kept = (1..node.lastIndex).filter { node.bytesAt(it) > 0 }
            assertEquals(case.kept, kept.size, "$case: $kept")
            assertTrue(kept.sumOf { node.bytesAt(it).toLong() } <= case.trailingBytes, "$case")
        }
    }

    private fun singleVoter(commandBytes: Int, trailingEntries: Int, trailingBytes: Long): ConsensusNode {
        val config = ConsensusConfig(
            "site",
            "a",
            trailingEntries = trailingEntries,
            trailingBytes = trailingBytes,
            commandBytes = { commandBytes },
        )
        val node = ConsensusNode(config, DurableState.founding(listOf("a")), Random(1), 0)
        execute(node, node.step(ConsensusEvent.Tick, NOW_MS))
        assertEquals(ConsensusRole.LEADER, node.role)
        return node
    }

    private fun propose(node: ConsensusNode, number: Long) {
        val command = ReplicatedCommand(manifest = ManifestRecord(number, "", ""))
        execute(node, node.step(ConsensusEvent.Propose(listOf(command)), NOW_MS))
    }

    private fun execute(node: ConsensusNode, effects: List<ConsensusEffect>) {
        val persisted = effects.filterIsInstance<ConsensusEffect.Persist>().lastOrNull() ?: return
        execute(node, node.step(ConsensusEvent.Persisted(persisted.id), NOW_MS))
    }

    private companion object {
        const val NOW_MS = 10_000L
    }
}
