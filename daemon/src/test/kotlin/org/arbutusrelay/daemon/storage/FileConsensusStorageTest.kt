package org.arbutusrelay.daemon.storage

import org.arbutusrelay.core.consensus.ConsensusEffect.Persist
import org.arbutusrelay.core.consensus.ConsensusSnapshot
import org.arbutusrelay.core.consensus.DurableState
import org.arbutusrelay.core.consensus.TermAndVote
import org.arbutusrelay.schema.message.LogEntry
import org.arbutusrelay.schema.message.ManifestRecord
import org.arbutusrelay.schema.message.ReplicatedCommand
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readBytes
import kotlin.io.path.writeBytes
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

class FileConsensusStorageTest {
    @TempDir
    lateinit var root: Path

    /** Guards against writes that are lost, reordered or resurrected by a restart. */
    @Test
    fun `random writes survive restarts like in memory`() {
        for (seed in 1L..20L) {
            val random = Random(seed)
            val path = root.resolve("random-$seed")
            val memory = MemoryConsensusStorage()
            listOf(memory, FileConsensusStorage(path)).forEach { create(it) }
            repeat(15) {
                FileConsensusStorage(path, segmentBytes = 400).use { storage ->
                    assertEquals(describe(load(memory)), describe(load(storage)), "seed $seed")
                    repeat(random.nextInt(1, 6)) {
                        val writes = randomWrites(random, load(memory).state)
                        memory.write(writes)
                        storage.write(writes)
                    }
                }
            }
        }
    }

    /** Guards against a restart that fails, or invents entries, after a crash during the last write. */
    @Test
    fun `a record torn at any byte is cut off`() {
        val segment = writeTwoRecords()
        val whole = segment.readBytes()
        val first = assertIs<RecordFormat.Found.Record>(RecordFormat.find(whole, 0)).end
        for (size in first..whole.size) {
            // A file may have its full size while its last bytes never arrived.
            for (content in listOf(whole.copyOf(size), whole.copyOf(size).copyOf(whole.size))) {
                segment.writeBytes(content)
                val entries = FileConsensusStorage(root).use { load(it) }.state.entries
                val expected = if (content.contentEquals(whole)) listOf(1L, 2L) else listOf(1L)
                assertEquals(expected, entries.map { it.index }, "cut at $size of ${content.size}")
            }
        }
    }

    /** Guards against damage that is skipped silently. */
    @Test
    fun `damage of any synced byte is an error that names the file`() {
        val segment = writeTwoRecords()
        val first = assertIs<RecordFormat.Found.Record>(RecordFormat.find(segment.readBytes(), 0)).end
        val cases = listOf(
            segment to (0 until first),
            root.resolve("vote") to (0 until Files.size(root.resolve("vote")).toInt()),
            root.resolve("snapshot") to (0 until Files.size(root.resolve("snapshot")).toInt()),
        )
        for ((file, range) in cases) {
            val whole = file.readBytes()
            for (position in range) {
                file.writeBytes(whole.copyOf().also { it[position] = (it[position].toInt() xor 0x41).toByte() })
                val error = FileConsensusStorage(root).use { it.load() }.leftOrNull()
                assertEquals(file, assertIs<StorageError.Corrupt>(error, "$file at $position").path)
            }
            file.writeBytes(whole)
        }
    }

    /** Guards against a crash between the steps of a change that spans several files. */
    @Test
    fun `each state between two file operations is recovered`() {
        val cases = mapOf(
            "temporary snapshot left" to { Files.write(root.resolve("snapshot.tmp"), byteArrayOf(1)) },
            "empty segment created" to { Files.createFile(root.resolve("log-000000000002")) },
        )
        writeTwoRecords()
        for ((name, leave) in cases) {
            leave()
            val replica = FileConsensusStorage(root).use { load(it) }
            assertEquals(listOf(1L, 2L), replica.state.entries.map { it.index }, name)
        }
    }

    /** Guards against trimmed segments that come back after a crash between snapshot and trim. */
    @Test
    fun `segments that a snapshot covers are ignored when the trim did not happen`() {
        val storage = FileConsensusStorage(root, segmentBytes = 1)
        create(storage)
        load(storage)
        storage.write(listOf(appended(1), appended(2)))
        storage.write(listOf(appended(3)))
        val old = Files.list(root).use { files -> files.filter { "log-" in it.toString() }.toList() }
            .associateWith { it.readBytes() }
        storage.write(listOf(appended(4), Persist(1, null, snapshot(3), null, 3, emptyList())))
        storage.close()
        val remaining = old.keys.filter { Files.exists(it) }
        assertEquals(emptyList(), remaining, "segments were not trimmed")
        old.forEach { (path, bytes) -> path.writeBytes(bytes) }
        assertEquals(listOf(4L), FileConsensusStorage(root).use { load(it) }.state.entries.map { it.index })
    }

    /** Guards against a lost file that makes a replica forget its promises. */
    @Test
    fun `missing files are errors and an empty folder is not`() {
        assertNull(FileConsensusStorage(root.resolve("empty")).use { it.load() }.getOrNull())
        for (name in listOf("vote", "snapshot", "log-000000000001")) {
            val path = root.resolve("without-$name")
            val storage = FileConsensusStorage(path, segmentBytes = 1)
            create(storage)
            load(storage)
            (1L..3L).forEach { storage.write(listOf(appended(it))) }
            storage.close()
            Files.delete(path.resolve(name))
            assertIs<StorageError.Corrupt>(FileConsensusStorage(path).use { it.load() }.leftOrNull(), name)
        }
    }

    private fun writeTwoRecords(): Path {
        FileConsensusStorage(root).use { storage ->
            create(storage)
            load(storage)
            storage.write(listOf(appended(1)))
            storage.write(listOf(appended(2)))
        }
        return root.resolve("log-000000000001")
    }

    private fun create(storage: ConsensusStorage) {
        assertNull(storage.load().getOrNull())
        val founding = DurableState.founding(listOf("a", "b"))
        assertEquals(null, storage.create(StoredReplica("a", founding)).leftOrNull())
        storage.close()
    }

    private fun load(storage: ConsensusStorage): StoredReplica {
        val loaded = storage.load()
        return assertIs<StoredReplica>(loaded.getOrNull(), "$loaded")
    }

    private fun describe(replica: StoredReplica) = with(replica.state) {
        listOf(
            replica.identity,
            term,
            votedFor,
            entries,
            snapshot.lastIndex,
            snapshot.lastTerm,
            snapshot.state.toList(),
        )
    }

    private fun entry(index: Long, term: Long = 1) =
        LogEntry(index, term, ReplicatedCommand(manifest = ManifestRecord(index, "", "text $term")))

    private fun appended(index: Long) = Persist(index, null, null, null, null, listOf(entry(index)))

    private fun snapshot(index: Long) = ConsensusSnapshot(index, 1, listOf("a"), byteArrayOf(index.toByte()))

    private fun randomWrites(random: Random, state: DurableState): List<Persist> {
        val base = state.snapshot.lastIndex
        val last = base + state.entries.size
        val appended = Persist(1, null, null, null, null, List(random.nextInt(1, 5)) { entry(last + 1 + it) })
        val replaced = random.nextLong(base + 1, last + 2)
        return when (random.nextInt(5)) {
            0 -> listOf(Persist(1, TermAndVote(state.term + 1, "b"), null, null, null, emptyList()), appended)

            1 -> listOf(Persist(1, null, null, replaced, null, listOf(entry(replaced, 2))))

            2 -> listOf(appended, Persist(2, null, snapshot(random.nextLong(base, last + 1)), null, null, emptyList()))

            3 -> (last + random.nextLong(0, 9)).let {
                listOf(
                    Persist(1, null, snapshot(it), it + 1, null, emptyList()),
                    Persist(2, null, null, null, null, listOf(entry(it + 1))),
                )
            }

            else -> listOf(appended)
        }
    }
}
