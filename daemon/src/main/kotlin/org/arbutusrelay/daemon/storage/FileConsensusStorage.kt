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
 * Stores a replica in the folder [path]: the file `vote`, the file `snapshot` and the segments `log-N`.
 *
 * The log changes of all writes of one call share a sync. A torn last record is cut off, because it was never
 * acknowledged; damage of the last record by other causes cannot be told from that. All other damage is an error.
 */
public class FileConsensusStorage(private val path: Path, private val segmentBytes: Long = 8L * 1024 * 1024) :
    ConsensusStorage {
    private var opened: Opened? = null
    private var failure: StorageError? = null

    override val logSyncs: Long get() = opened?.segments?.syncs ?: 0

    override fun load(): Either<StorageError, StoredReplica?> = guarded {
        close()
        val folder = DataFolder(path)
        val files = folder.files()
        val segments = LogSegments(folder, segmentBytes)
        opened = Opened(folder, segments)
        if (VOTE in files) {
            val vote = RecordFormat.decodeOnly<VoteRecord>(folder.file(VOTE), Files.readAllBytes(folder.file(VOTE)))
            if (SNAPSHOT !in files) throw RecordFormat.corrupt(folder.file(SNAPSHOT), 0, "the file is missing")
            val snapshot = readSnapshot(folder)
            opened?.identity = vote.identity
            val entries = segments.load(snapshot.lastIndex)
            StoredReplica(vote.identity, DurableState(vote.term, vote.votedFor, snapshot, entries))
        } else {
            val other = files.firstOrNull { it.startsWith("log-") }
            if (other != null) throw RecordFormat.corrupt(folder.file(VOTE), 0, "the file is missing beside $other")
            null
        }
    }

    override fun create(replica: StoredReplica): Either<StorageError, Unit> = guarded {
        val target = checkNotNull(opened) { "create before load" }
        check(target.identity == null) { "${target.identity} is stored already" }
        // The vote comes last: without it the folder counts as empty.
        writeSnapshot(target.folder, replica.state.snapshot)
        flush(target, replica.state.entries.mapTo(ArrayList()) { LogChange(entry = it) })
        target.identity = replica.identity
        writeVote(target, replica.state.term, replica.state.votedFor)
    }

    override fun write(writes: List<ConsensusEffect.Persist>): Either<StorageError, Unit> = guarded {
        val target = checkNotNull(opened) { "write before load" }
        writes.lastOrNull { it.vote != null }?.vote?.let { writeVote(target, it.term, it.votedFor) }
        val changes = ArrayList<LogChange>()
        for (write in writes) {
            write.truncateFrom?.let { changes += LogChange(truncateFrom = it) }
            write.entries.mapTo(changes) { LogChange(entry = it) }
            val snapshot = write.snapshot ?: continue
            // Entries that contradict a received snapshot must be gone before it counts.
            flush(target, changes)
            writeSnapshot(target.folder, snapshot)
            target.segments.trim(snapshot.lastIndex)
        }
        flush(target, changes)
    }

    override fun close() {
        opened?.segments?.close()
        opened = null
    }

    private fun flush(target: Opened, changes: MutableList<LogChange>) {
        if (changes.isEmpty()) return
        target.segments.append(changes)
        changes.clear()
    }

    private fun readSnapshot(folder: DataFolder): ConsensusSnapshot {
        val file = folder.file(SNAPSHOT)
        val record = RecordFormat.decodeOnly<SnapshotRecord>(file, Files.readAllBytes(file))
        return ConsensusSnapshot(record.lastIndex, record.lastTerm, record.voters, record.state)
    }

    private fun writeSnapshot(folder: DataFolder, value: ConsensusSnapshot) {
        val record = SnapshotRecord(value.lastIndex, value.lastTerm, value.voters, value.state)
        folder.replace(SNAPSHOT, RecordFormat.encode(record))
    }

    private fun writeVote(target: Opened, term: Long, votedFor: String?) {
        val identity = checkNotNull(target.identity) { "no replica is stored" }
        target.folder.replace(VOTE, RecordFormat.encode(VoteRecord(identity, term, votedFor)))
    }

    private inline fun <T> guarded(action: () -> T): Either<StorageError, T> {
        failure?.let { return it.left() }
        return try {
            action().right()
        } catch (e: StorageException) {
            e.error.also { failure = it }.left()
        } catch (e: IOException) {
            StorageError.Unavailable(path, e.toString()).also { failure = it }.left()
        }
    }

    private class Opened(val folder: DataFolder, val segments: LogSegments, var identity: String? = null)

    private companion object {
        const val VOTE = "vote"
        const val SNAPSHOT = "snapshot"
    }
}
