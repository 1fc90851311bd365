package org.arbutusrelay.daemon.storage

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.arbutusrelay.core.consensus.ConsensusEffect
import org.arbutusrelay.core.consensus.ConsensusSnapshot
import org.arbutusrelay.core.consensus.DurableState
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * Stores a replica in the folder [path]: the file `vote`, the file `snapshot` and the log segments `log-N`.
 *
 * The log changes of all writes of one call share a sync. A torn last record is truncated, because it was never
 * acknowledged; other corruption of the last record cannot be distinguished from it. Corruption elsewhere is an error.
 */
public class FileConsensusStorage internal constructor(
    private val path: Path,
    private val segmentBytes: Long,
    private val operations: FileOperations,
) : ConsensusStorage {
    private var openReplica: OpenReplica? = null

    /** True while a part of the writes of the last call may be on disk. */
    private var isWriteUncertain = false

    public constructor(path: Path, segmentBytes: Long = 8L * 1024 * 1024) : this(path, segmentBytes, SystemFiles)

    override val logSyncCount: Long get() = openReplica?.segments?.syncCount ?: 0

    override fun load(): Either<StorageError, StoredReplica?> = catchErrors {
        close()
        val folder = DataFolder(path, operations)
        val files = folder.files()
        val segments = LogSegments(folder, segmentBytes)
        openReplica = OpenReplica(folder, segments)
        if (VOTE in files) {
            val vote = RecordFormat.decodeSingle<VoteRecord>(folder.file(VOTE), Files.readAllBytes(folder.file(VOTE)))
            if (SNAPSHOT !in files) throw RecordFormat.corrupt(folder.file(SNAPSHOT), 0, "the file is missing")
            val snapshot = readSnapshot(folder)
            openReplica?.identity = vote.identity
            val entries = segments.load(snapshot.lastIndex)
            StoredReplica(vote.identity, DurableState(vote.term, vote.votedFor, snapshot, entries))
        } else {
            val segment = files.firstOrNull { it.startsWith("log-") }
            if (segment != null) throw RecordFormat.corrupt(folder.file(VOTE), 0, "missing, but $segment exists")
            null
        }
    }

    override fun create(replica: StoredReplica): Either<StorageError, Unit> = catchErrors {
        val target = checkNotNull(openReplica) { "create() was called before load()" }
        check(target.identity == null) { "${target.identity} is already stored" }
        // The vote file is written last, because a folder without it counts as empty.
        writeSnapshot(target.folder, replica.state.snapshot)
        flush(target, replica.state.entries.mapTo(ArrayList()) { LogChange(entry = it) })
        target.identity = replica.identity
        writeVote(target, replica.state.term, replica.state.votedFor)
    }

    override fun write(writes: List<ConsensusEffect.Persist>): Either<StorageError, Unit> = catchErrors {
        val target = checkNotNull(openReplica) { "write() was called before load()" }
        writes.lastOrNull { it.vote != null }?.vote?.let { writeVote(target, it.term, it.votedFor) }
        val changes = ArrayList<LogChange>()
        // The log must not contain an entry twice.
        if (isWriteUncertain) firstChangedIndex(writes)?.let { changes += LogChange(truncateFrom = it) }
        isWriteUncertain = true
        for (write in writes) {
            write.truncateFrom?.let { changes += LogChange(truncateFrom = it) }
            write.entries.mapTo(changes) { LogChange(entry = it) }
            val snapshot = write.snapshot ?: continue
            // Entries that conflict with a received snapshot must be removed before the snapshot is stored.
            flush(target, changes)
            writeSnapshot(target.folder, snapshot)
            target.segments.trim(snapshot.lastIndex)
        }
        flush(target, changes)
        isWriteUncertain = false
    }

    override fun close() {
        openReplica?.segments?.close()
        openReplica = null
    }

    private fun flush(target: OpenReplica, changes: MutableList<LogChange>) {
        if (changes.isEmpty()) return
        target.segments.append(changes)
        changes.clear()
    }

    /** Returns the first log index that [writes] change. Entries from there on are replaced or removed by them. */
    private fun firstChangedIndex(writes: List<ConsensusEffect.Persist>): Long? =
        writes.mapNotNull { write -> listOfNotNull(write.truncateFrom, write.entries.firstOrNull()?.index).minOrNull() }
            .minOrNull()

    private fun readSnapshot(folder: DataFolder): ConsensusSnapshot {
        val file = folder.file(SNAPSHOT)
        val record = RecordFormat.decodeSingle<SnapshotRecord>(file, Files.readAllBytes(file))
        return ConsensusSnapshot(record.lastIndex, record.lastTerm, record.voters, record.state)
    }

    private fun writeSnapshot(folder: DataFolder, value: ConsensusSnapshot) {
        val record = SnapshotRecord(value.lastIndex, value.lastTerm, value.voters, value.state)
        folder.replace(SNAPSHOT, RecordFormat.encode(record))
    }

    private fun writeVote(target: OpenReplica, term: Long, votedFor: String?) {
        val identity = checkNotNull(target.identity) { "no replica is stored" }
        target.folder.replace(VOTE, RecordFormat.encode(VoteRecord(identity, term, votedFor)))
    }

    private inline fun <T> catchErrors(action: () -> T): Either<StorageError, T> = try {
        action().right()
    } catch (e: StorageException) {
        e.error.left()
    } catch (e: IOException) {
        StorageError.Unavailable(path, e.toString()).left()
    }

    private class OpenReplica(val folder: DataFolder, val segments: LogSegments, var identity: String? = null)

    private companion object {
        const val VOTE = "vote"
        const val SNAPSHOT = "snapshot"
    }
}
