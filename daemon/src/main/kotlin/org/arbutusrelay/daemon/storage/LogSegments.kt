package org.arbutusrelay.daemon.storage

import org.arbutusrelay.schema.message.LogEntry
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption

/** The log as numbered segment files. Old segments are deleted whole once a snapshot covers them. */
internal class LogSegments(private val folder: DataFolder, private val segmentBytes: Long) : AutoCloseable {
    private val closed = ArrayDeque<Segment>()
    private var active: Segment? = null
    private var channel: FileChannel? = null
    var syncs = 0L
        private set

    /** Reads all segments and returns the entries after [snapshotIndex]; cuts off a torn tail. */
    fun load(snapshotIndex: Long): List<LogEntry> {
        val names = folder.files().filter { it.startsWith(PREFIX) }
        val entries = ArrayList<LogEntry>()
        names.forEachIndexed { position, name ->
            val number = name.removePrefix(PREFIX).toLongOrNull()
            val expected = closed.lastOrNull()?.let { it.number + 1 } ?: number
            if (number == null || number != expected) {
                throw RecordFormat.corrupt(folder.file(name), 0, "segment $expected is missing")
            }
            closed += read(Segment(number, folder.file(name)), position == names.lastIndex, entries)
        }
        val kept = entries.filter { it.index > snapshotIndex }
        if (kept.isNotEmpty() && kept.first().index != snapshotIndex + 1) {
            val reason = "entries start at ${kept.first().index} after the snapshot at $snapshotIndex"
            throw RecordFormat.corrupt(folder.path, 0, reason)
        }
        return kept
    }

    /** Appends [changes] as one record and syncs it. */
    fun append(changes: List<LogChange>) {
        val segment = active?.takeIf { it.sizeBytes < segmentBytes } ?: roll()
        val record = RecordFormat.encode(LogBatch(changes))
        segment.sizeBytes += record.remaining()
        val out = checkNotNull(channel)
        while (record.hasRemaining()) out.write(record)
        out.force(false)
        syncs++
        changes.forEach { change -> change.entry?.let { segment.lastIndex = maxOf(segment.lastIndex, it.index) } }
    }

    /** Deletes the segments whose entries are all covered by a synced snapshot. */
    fun trim(snapshotIndex: Long) {
        while (closed.isNotEmpty() && closed.first().lastIndex <= snapshotIndex) {
            Files.delete(closed.removeFirst().path)
            // A later segment must not become durable as deleted before an earlier one.
            folder.sync()
        }
    }

    override fun close() {
        channel?.close()
        channel = null
    }

    private fun read(segment: Segment, isLast: Boolean, entries: MutableList<LogEntry>): Segment {
        val bytes = Files.readAllBytes(segment.path)
        var offset = 0
        while (offset < bytes.size) {
            val found = RecordFormat.find(bytes, offset)
            if (found is RecordFormat.Found.Torn && isLast) {
                cut(segment.path, offset.toLong())
                break
            }
            if (found !is RecordFormat.Found.Record) {
                throw RecordFormat.corrupt(segment.path, offset.toLong(), "bad checksum")
            }
            val batch = RecordFormat.decode<LogBatch>(segment.path, bytes, offset, found.end)
            batch.changes.forEach { replay(it, segment, entries, offset.toLong()) }
            offset = found.end
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
        // A snapshot that was received from the leader may leave a gap behind; load checks that it covers the gap.
        if (last != null && entry.index != last.index + 1) {
            if (entry.index <= last.index) {
                throw RecordFormat.corrupt(segment.path, offset, "entry ${entry.index} repeats")
            }
            entries.clear()
        }
        entries += entry
        segment.lastIndex = maxOf(segment.lastIndex, entry.index)
    }

    private fun cut(path: Path, sizeBytes: Long) {
        FileChannel.open(path, StandardOpenOption.WRITE).use {
            it.truncate(sizeBytes)
            it.force(true)
        }
    }

    private fun roll(): Segment {
        close()
        active?.let { closed += it }
        val number = (closed.lastOrNull()?.number ?: 0) + 1
        val segment = Segment(number, folder.file(PREFIX + number.toString().padStart(DIGITS, '0')))
        channel = FileChannel.open(segment.path, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)
        folder.sync()
        active = segment
        return segment
    }

    private class Segment(val number: Long, val path: Path, var lastIndex: Long = 0, var sizeBytes: Long = 0)

    private companion object {
        const val PREFIX = "log-"
        const val DIGITS = 12
    }
}
