package org.arbutusrelay.daemon.storage

import org.arbutusrelay.schema.message.LogEntry
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption

/** The replicated log in numbered segment files. A segment is deleted once a snapshot covers all its entries. */
internal class LogSegments(private val folder: DataFolder, private val segmentBytes: Long) : AutoCloseable {
    private val closedSegments = ArrayDeque<Segment>()
    private var activeSegment: Segment? = null
    private var channel: FileChannel? = null

    /** True while the active segment may end with bytes of a record that was not written or synced. */
    private var isTailUncertain = false
    var syncCount = 0L
        private set

    /**
     * Reads all segments and returns the entries after [snapshotIndex]; truncates a torn last record.
     *
     * The last segment is synced, because a process that was killed may have left a record in it that is not: the
     * replica relies on what it has read, and a loss of power would otherwise take the record away again.
     */
    fun load(snapshotIndex: Long): List<LogEntry> {
        val names = folder.files().filter { it.startsWith(NAME_PREFIX) }
        val entries = ArrayList<LogEntry>()
        names.forEachIndexed { position, name ->
            val number = name.removePrefix(NAME_PREFIX).toLongOrNull()
            val expected = closedSegments.lastOrNull()?.let { it.number + 1 } ?: number
            if (number == null || number != expected) {
                throw RecordFormat.corrupt(folder.file(name), 0, "segment $expected is missing")
            }
            closedSegments += readSegment(Segment(number, folder.file(name)), position == names.lastIndex, entries)
        }
        closedSegments.lastOrNull()?.let { syncFile(it.path) }
        val retained = entries.filter { it.index > snapshotIndex }
        if (retained.isNotEmpty() && retained.first().index != snapshotIndex + 1) {
            val reason = "the log starts at index ${retained.first().index}, but the snapshot ends at $snapshotIndex"
            throw RecordFormat.corrupt(folder.path, 0, reason)
        }
        return retained
    }

    /** Appends [changes] as one record and syncs it; after an error nothing of it counts as written. */
    fun append(changes: List<LogChange>) {
        removeUncertainTail()
        val segment = activeSegment?.takeIf { it.sizeBytes < segmentBytes } ?: rollSegment()
        val record = RecordFormat.encode(LogBatch(changes))
        val recordBytes = record.remaining()
        val out = checkNotNull(channel)
        isTailUncertain = true
        folder.operations.write(out, record)
        folder.operations.sync(out)
        isTailUncertain = false
        segment.sizeBytes += recordBytes
        syncCount++
        changes.forEach { change -> change.entry?.let { segment.lastIndex = maxOf(segment.lastIndex, it.index) } }
    }

    /** Deletes the segments whose entries are all covered by a synced snapshot. */
    fun trim(snapshotIndex: Long) {
        while (closedSegments.isNotEmpty() && closedSegments.first().lastIndex <= snapshotIndex) {
            folder.operations.delete(closedSegments.first().path)
            // Synced after each deletion, so that a crash cannot leave a gap between the remaining segments.
            folder.sync()
            closedSegments.removeFirst()
        }
    }

    override fun close() {
        channel?.close()
        channel = null
    }

    private fun readSegment(segment: Segment, isLast: Boolean, entries: MutableList<LogEntry>): Segment {
        val bytes = Files.readAllBytes(segment.path)
        var offset = 0
        while (offset < bytes.size) {
            val result = RecordFormat.scan(bytes, offset)
            if (result is RecordFormat.ScanResult.Torn && isLast) {
                truncateFile(segment.path, offset.toLong())
                break
            }
            if (result !is RecordFormat.ScanResult.Record) {
                throw RecordFormat.corrupt(segment.path, offset.toLong(), "bad checksum")
            }
            val batch = RecordFormat.decode<LogBatch>(segment.path, bytes, offset, result.end)
            batch.changes.forEach { replay(it, segment, entries, offset.toLong()) }
            offset = result.end
        }
        segment.sizeBytes = offset.toLong()
        return segment
    }

    private fun replay(change: LogChange, segment: Segment, entries: MutableList<LogEntry>, offset: Long) {
        change.truncateFrom?.let { from ->
            while (entries.isNotEmpty() && entries.last().index >= from) entries.removeAt(entries.lastIndex)
        }
        val entry = change.entry ?: return
        val last = entries.lastOrNull()
        // A snapshot received from the leader may leave a gap in the log; load checks that the snapshot covers it.
        if (last != null && entry.index != last.index + 1) {
            if (entry.index <= last.index) {
                throw RecordFormat.corrupt(segment.path, offset, "entry ${entry.index} repeats")
            }
            entries.clear()
        }
        entries += entry
        segment.lastIndex = maxOf(segment.lastIndex, entry.index)
    }

    private fun syncFile(path: Path) =
        folder.operations.open(path, StandardOpenOption.WRITE).use(folder.operations::sync)

    private fun truncateFile(path: Path, sizeBytes: Long) {
        folder.operations.open(path, StandardOpenOption.WRITE).use {
            folder.operations.truncate(it, sizeBytes)
            folder.operations.sync(it)
        }
    }

    /**
     * Removes what a failed append may have left, and continues in a new segment.
     *
     * A sync after a failed one may succeed although the data of the failed one never reached the disk, so the record
     * is written again to another file.
     */
    private fun removeUncertainTail() {
        if (!isTailUncertain) return
        close()
        activeSegment?.let { truncateFile(it.path, it.sizeBytes) }
        isTailUncertain = false
        closeActiveSegment()
    }

    private fun closeActiveSegment() {
        close()
        activeSegment?.let { closedSegments += it }
        activeSegment = null
    }

    private fun rollSegment(): Segment {
        closeActiveSegment()
        val number = (closedSegments.lastOrNull()?.number ?: 0) + 1
        val segment = Segment(number, folder.file(NAME_PREFIX + number.toString().padStart(NUMBER_DIGITS, '0')))
        // The file may exist already if the sync of the folder has failed before.
        channel = folder.operations.open(segment.path, *NEW_FILE)
        folder.sync()
        activeSegment = segment
        return segment
    }

    private class Segment(val number: Long, val path: Path, var lastIndex: Long = 0, var sizeBytes: Long = 0)

    private companion object {
        const val NAME_PREFIX = "log-"
        const val NUMBER_DIGITS = 12
        val NEW_FILE =
            arrayOf(StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)
    }
}
