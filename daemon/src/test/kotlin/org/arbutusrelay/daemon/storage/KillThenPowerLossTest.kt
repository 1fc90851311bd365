package org.arbutusrelay.daemon.storage

import org.arbutusrelay.core.consensus.ConsensusEffect.Persist
import org.arbutusrelay.core.consensus.ConsensusSnapshot
import org.arbutusrelay.core.consensus.DurableState
import org.arbutusrelay.core.consensus.TermAndVote
import org.arbutusrelay.schema.message.LogEntry
import org.arbutusrelay.schema.message.ManifestRecord
import org.arbutusrelay.schema.message.ReplicatedCommand
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.deleteRecursively
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class KillThenPowerLossTest {
    private val root = Files.createTempDirectory("kill-then-power-loss")

    @OptIn(ExperimentalPathApi::class)
    @AfterTest
    fun clean(): Unit = root.deleteRecursively()

    /**
     * Guards against a replica that relies on what an earlier process wrote and did not sync, and then loses it, or
     * does not start again, because the power fails.
     */
    @Test
    fun `what a replica has loaded after a kill survives a loss of power`() {
        var kills = 0
        for (seed in 1L..SEEDS) {
            for (writesAfter in listOf(0, 1, 2)) {
                var operations = 0
                while (isKilled(operations, writesAfter, seed)) operations++
                kills += operations
            }
        }
        assertTrue(kills > SEEDS * MIN_OPERATIONS, "$kills kills")
    }

    /** Returns false if the process had ended its work before the kill. */
    private fun isKilled(operations: Int, writesAfter: Int, seed: Long): Boolean {
        val path = root.resolve("$seed-$writesAfter-$operations")
        val case = "killed after $operations operations, $writesAfter writes after the restart, seed $seed"
        val disk = PowerLossDisk(path, Random(seed))
        open(path, disk).use { storage ->
            assertEquals(null, storage.load().getOrNull(), case)
            val founding = StoredReplica("a", DurableState.founding(listOf("a", "b")))
            assertEquals(null, storage.create(founding).leftOrNull(), case)
        }
        val isKilled = open(path, disk).use { storage ->
            assertIs<StoredReplica>(storage.load().getOrNull(), case)
            disk.operationsUntilKill = operations
            val isDone = WRITES.all { storage.write(listOf(it)).isRight() }
            disk.endProcess()
            !isDone
        }
        val expected = open(path, disk).use { storage ->
            val loaded = assertIs<StoredReplica>(storage.load().getOrNull(), case).state
            val last = maxOf(loaded.snapshot.lastIndex, loaded.entries.lastOrNull()?.index ?: 0)
            val appended = List(writesAfter) { entry(last + 1 + it, term = 9) }
            appended.forEach { assertEquals(null, storage.write(listOf(append(it))).leftOrNull(), case) }
            description(loaded) + appended.map { it.index to it.term }
        }
        disk.losePower()
        val state = open(path, disk).use { storage ->
            val loaded = storage.load()
            assertIs<StoredReplica>(loaded.getOrNull(), "$case: $loaded").state
        }
        assertEquals(expected, description(state), case)
        return isKilled
    }

    /** Small segments, so that the log takes several. */
    private fun open(path: Path, disk: PowerLossDisk) =
        FileConsensusStorage(path, segmentBytes = 100, disk.startProcess())

    private fun description(state: DurableState): List<Any?> =
        listOf(state.term, state.votedFor, state.snapshot.lastIndex) + state.entries.map { it.index to it.term }

    private companion object {
        const val SEEDS = 8L

        /** Far below the number of file operations of the writes. */
        const val MIN_OPERATIONS = 30

        fun entry(index: Long, term: Long = 1) =
            LogEntry(index, term, ReplicatedCommand(manifest = ManifestRecord(index, "", "text")))

        fun append(entry: LogEntry) = Persist(entry.index, null, null, null, null, listOf(entry))

        val WRITES = listOf(
            Persist(1, TermAndVote(1, "b"), null, null, null, listOf(entry(1), entry(2))),
            append(entry(3)),
            Persist(3, TermAndVote(2, "a"), null, truncateFrom = 3, null, listOf(entry(3, 2))),
            Persist(4, null, ConsensusSnapshot(2, 1, listOf("a", "b"), byteArrayOf(2)), null, 2, emptyList()),
            append(entry(4, 2)),
            append(entry(5, 2)),
            Persist(7, TermAndVote(3, null), null, null, null, emptyList()),
        )
    }
}
