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
import kotlin.test.assertTrue

class FileConsensusStorageTest {
    @TempDir
    lateinit var root: Path

    /** Guards against writes that are lost, reordered or undone by a restart. */
    @Test
    fun `file storage equals memory storage after random writes and restarts`() {
        for (seed in 1L..20L) {
            val random = Random(seed)
            val path = root.resolve("random-$seed")
            val memory = MemoryConsensusStorage()
            listOf(memory, FileConsensusStorage(path)).forEach { create(it) }
            repeat(15) {
                FileConsensusStorage(path, segmentBytes = 400).use { storage ->
                    assertEquals(comparableState(load(memory)), comparableState(load(storage)), "seed $seed")
                    repeat(random.nextInt(1, 6)) {
                        val writes = randomWrites(random, load(memory).state)
                        memory.write(writes)
                        storage.write(writes)
                    }
                }
            }
        }
    }

    /** Guards against a restart that fails, or loads unwritten entries, after a crash during the last write. */
    @Test
    fun `a last record torn at any byte is truncated`() {
        val segment = writeTwoRecords()
        val original = segment.readBytes()
        val first = assertIs<RecordFormat.ScanResult.Record>(RecordFormat.scan(original, 0)).end
        for (size in first..original.size) {
            // A file may have its full size although its last bytes were never written.
            for (content in listOf(original.copyOf(size), original.copyOf(size).copyOf(original.size))) {
                segment.writeBytes(content)
                val entries = FileConsensusStorage(root).use { load(it) }.state.entries
                val expected = if (content.contentEquals(original)) listOf(1L, 2L) else listOf(1L)
                assertEquals(expected, entries.map { it.index }, "truncated at $size of ${content.size}")
            }
        }
    }

    /** Guards against corruption that is skipped silently. */
    @Test
    fun `corruption of any synced byte is an error that names the file`() {
        val segment = writeTwoRecords()
        val first = assertIs<RecordFormat.ScanResult.Record>(RecordFormat.scan(segment.readBytes(), 0)).end
        val cases = listOf(
            segment to (0 until first),
            root.resolve("vote") to (0 until Files.size(root.resolve("vote")).toInt()),
            root.resolve("snapshot") to (0 until Files.size(root.resolve("snapshot")).toInt()),
        )
        for ((file, range) in cases) {
            val original = file.readBytes()
            for (position in range) {
                file.writeBytes(original.copyOf().also { it[position] = (it[position].toInt() xor 0x41).toByte() })
                val error = FileConsensusStorage(root).use { it.load() }.leftOrNull()
                assertEquals(file, assertIs<StorageError.Corrupt>(error, "$file at $position").path)
            }
            file.writeBytes(original)
        }
    }

    /** Guards against a crash between the steps of a change to several files. */
    @Test
    fun `a replica is loaded after a crash between two file operations`() {
        val cases = mapOf(
            "temporary snapshot file" to { Files.write(root.resolve("snapshot.tmp"), byteArrayOf(1)) },
            "empty segment created" to { Files.createFile(root.resolve("log-000000000002")) },
        )
        writeTwoRecords()
        for ((name, prepare) in cases) {
            prepare()
            val replica = FileConsensusStorage(root).use { load(it) }
            assertEquals(listOf(1L, 2L), replica.state.entries.map { it.index }, name)
        }
    }

    /** Guards against entries that reappear after a crash between a snapshot and the trim of its segments. */
    @Test
    fun `segments that a snapshot covers are ignored when they were not trimmed`() {
        val storage = FileConsensusStorage(root, segmentBytes = 1)
        create(storage)
        load(storage)
        storage.write(listOf(append(1), append(2)))
        storage.write(listOf(append(3)))
        val oldSegments = Files.list(root).use { files -> files.filter { "log-" in it.toString() }.toList() }
            .associateWith { it.readBytes() }
        storage.write(listOf(append(4), Persist(1, null, snapshot(3), null, 3, emptyList())))
        storage.close()
        val remaining = oldSegments.keys.filter { Files.exists(it) }
        assertEquals(emptyList(), remaining, "segments were not trimmed")
        oldSegments.forEach { (path, bytes) -> path.writeBytes(bytes) }
        assertEquals(listOf(4L), FileConsensusStorage(root).use { load(it) }.state.entries.map { it.index })
    }

    /** Guards against a lost file after which a replica runs without its vote or its acknowledged entries. */
    @Test
    fun `missing files are errors and an empty folder is not`() {
        assertNull(FileConsensusStorage(root.resolve("empty")).use { it.load() }.getOrNull())
        for (name in listOf("vote", "snapshot", "log-000000000001")) {
            val path = root.resolve("without-$name")
            val storage = FileConsensusStorage(path, segmentBytes = 1)
            create(storage)
            load(storage)
            (1L..3L).forEach { storage.write(listOf(append(it))) }
            storage.close()
            Files.delete(path.resolve(name))
            assertIs<StorageError.Corrupt>(FileConsensusStorage(path).use { it.load() }.leftOrNull(), name)
        }
    }

    /** Guards against a failed write after which the storage refuses all others, or its folder cannot be loaded. */
    @Test
    fun `writes that failed at any operation are repeated with the same result`() {
        val calls = listOf(
            listOf(Persist(1, TermAndVote(1, "a"), null, null, null, listOf(entry(1), entry(2)))),
            listOf(append(3), Persist(2, null, snapshot(2), null, 2, emptyList()), append(4)),
            listOf(Persist(3, TermAndVote(2, null), null, 4, null, listOf(entry(4, 2), entry(5, 2)))),
            listOf(Persist(4, null, snapshot(9), 10, 9, emptyList()), append(10)),
            listOf(append(11), append(12)),
        )
        for (count in 1..calls.size) {
            val memory = MemoryConsensusStorage().also { create(it) }
            calls.take(count).forEach { memory.write(it) }
            val expected = comparableState(load(memory))
            var failAt = 0
            do {
                val path = root.resolve("$count-calls-fail-at-$failAt")
                val errors = writeWithRepeats(path, calls.take(count), FaultyDisk(failAt))
                assertTrue(errors <= 1, "$path: $errors failed calls")
                assertEquals(expected, comparableState(FileConsensusStorage(path).use { load(it) }), "$path")
                failAt++
            } while (errors > 0)
            assertTrue(failAt > 8, "$count calls: only $failAt operations were tried")
        }
    }

    /** Writes [calls] like the daemon, which adds the writes of a failed call to the next one; returns the failures. */
    private fun writeWithRepeats(path: Path, calls: List<List<Persist>>, disk: FaultyDisk): Int {
        create(FileConsensusStorage(path))
        var errors = 0
        FileConsensusStorage(path, segmentBytes = 100, disk).use { storage ->
            while (storage.load().isLeft()) errors++
            val pending = ArrayList<Persist>()
            for (call in calls) {
                pending += call
                if (storage.write(pending).isRight()) pending.clear() else errors++
            }
            while (pending.isNotEmpty()) if (storage.write(pending).isRight()) pending.clear() else errors++
        }
        return errors
    }

    /** Guards against a disk that was full for a time and whose replica does not write again. */
    @Test
    fun `a disk that was full accepts the writes that it refused`() {
        create(FileConsensusStorage(root))
        val disk = FaultyDisk()
        FileConsensusStorage(root, segmentBytes = 100, disk).use { storage ->
            load(storage)
            storage.write(listOf(append(1)))
            disk.isFull = true
            val pending = ArrayList<Persist>()
            for (index in 2L..20L) {
                pending += append(index)
                assertIs<StorageError.Unavailable>(storage.write(pending).leftOrNull())
            }
            disk.isFull = false
            assertNull(storage.write(pending).leftOrNull())
            assertNull(storage.write(listOf(append(21))).leftOrNull())
        }
        assertEquals((1L..21L).toList(), FileConsensusStorage(root).use { load(it) }.state.entries.map { it.index })
    }

    private fun writeTwoRecords(): Path {
        FileConsensusStorage(root).use { storage ->
            create(storage)
            load(storage)
            storage.write(listOf(append(1)))
            storage.write(listOf(append(2)))
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

    private fun comparableState(replica: StoredReplica) = with(replica.state) {
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

    private fun append(index: Long) = Persist(index, null, null, null, null, listOf(entry(index)))

    private fun snapshot(index: Long) = ConsensusSnapshot(index, 1, listOf("a"), byteArrayOf(index.toByte()))

    private fun randomWrites(random: Random, state: DurableState): List<Persist> {
        val base = state.snapshot.lastIndex
        val last = base + state.entries.size
        val append = Persist(1, null, null, null, null, List(random.nextInt(1, 5)) { entry(last + 1 + it) })
        val truncateFrom = random.nextLong(base + 1, last + 2)
        return when (random.nextInt(5)) {
            0 -> listOf(Persist(1, TermAndVote(state.term + 1, "b"), null, null, null, emptyList()), append)

            1 -> listOf(Persist(1, null, null, truncateFrom, null, listOf(entry(truncateFrom, 2))))

            2 -> listOf(append, Persist(2, null, snapshot(random.nextLong(base, last + 1)), null, null, emptyList()))

            3 -> (last + random.nextLong(0, 9)).let {
                listOf(
                    Persist(1, null, snapshot(it), it + 1, null, emptyList()),
                    Persist(2, null, null, null, null, listOf(entry(it + 1))),
                )
            }

            else -> listOf(append)
        }
    }
}
