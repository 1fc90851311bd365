package org.arbutusrelay.daemon.storage

import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.OpenOption
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import java.util.IdentityHashMap
import kotlin.io.path.readBytes
import kotlin.io.path.writeBytes
import kotlin.random.Random

/**
 * The disk of a replica in [folder], which refuses writes while [isFull] and loses unsynced changes on [losePower].
 *
 * While it is full, a write may store a part, deletions work, and each other operation may succeed or fail. After a
 * loss of power, a file holds what its last sync covered and any part of what was written since; a name that was
 * created, renamed or removed since the last sync of the folder is kept or lost independently of the others.
 */
internal class PowerLossDisk(private val folder: Path, private val random: Random) {
    var isFull = false

    /** Number of operations after which the process is killed, with its files as they are then. */
    var operationsUntilKill = Int.MAX_VALUE
    private val durableNames = HashMap<String, FileState>()
    private val names = HashMap<String, FileState>()
    private val unsyncedChanges = ArrayList<NameChange>()
    private var process: ProcessFiles? = null

    /** Returns the file operations of a new process; those of the process before fail from now on. */
    fun startProcess(): FileOperations {
        endProcess()
        operationsUntilKill = Int.MAX_VALUE
        return ProcessFiles().also { process = it }
    }

    /** Lets all further operations of the current process fail, as after it was killed. */
    fun endProcess() {
        process?.isEnded = true
    }

    fun losePower() {
        endProcess()
        // At some losses of power, all unsynced changes are lost.
        val isAllLost = random.nextBoolean()
        val kept = HashMap(durableNames)
        unsyncedChanges.forEach { if (!isAllLost && random.nextBoolean()) it.applyTo(kept) }
        val contents = kept.mapValues { (_, state) -> if (isAllLost) state.durable else remainingContent(state) }
        names.keys.forEach { Files.deleteIfExists(folder.resolve(it)) }
        unsyncedChanges.clear()
        names.clear()
        durableNames.clear()
        for ((name, content) in contents) {
            folder.resolve(name).writeBytes(content)
            names[name] = FileState(content)
        }
        durableNames.putAll(names)
    }

    private fun remainingContent(state: FileState): ByteArray {
        val name = names.entries.firstOrNull { it.value === state }?.key ?: return state.durable
        val current = folder.resolve(name).readBytes()
        val common = current.indices.firstOrNull { it >= state.durable.size || current[it] != state.durable[it] }
        // A truncation of synced content is either kept or lost.
        if (common == null) return if (random.nextBoolean()) current else state.durable
        if (common < state.durable.size && random.nextBoolean()) return state.durable
        val torn = current.copyOf(random.nextInt(common, current.size + 1))
        // The length may have reached the disk without the data.
        return if (random.nextInt(4) == 0) torn.copyOf(current.size) else torn
    }

    private class FileState(var durable: ByteArray = ByteArray(0))

    private class NameChange(val removed: String?, val added: String?, val state: FileState) {
        fun applyTo(target: MutableMap<String, FileState>) {
            if (removed != null && target[removed] === state) target -= removed
            if (added != null) target[added] = state
        }
    }

    private inner class ProcessFiles : FileOperations {
        var isEnded = false
        private val openNames = IdentityHashMap<FileChannel, String>()
        private val openFolders = IdentityHashMap<FileChannel, Path>()

        override fun open(path: Path, vararg options: OpenOption): FileChannel {
            checkRunning()
            if (Files.isDirectory(path)) return SystemFiles.open(path, *options).also { openFolders[it] = path }
            if (StandardOpenOption.CREATE in options) refuseAtRandom()
            val name = path.fileName.toString()
            val channel = SystemFiles.open(path, *options)
            openNames[channel] = name
            if (name !in names) record(NameChange(null, name, FileState()))
            return channel
        }

        override fun write(channel: FileChannel, content: ByteBuffer) {
            checkRunning()
            if (!isFull) return SystemFiles.write(channel, content)
            val partBytes = random.nextInt(content.remaining())
            if (random.nextBoolean()) SystemFiles.write(channel, content.slice(content.position(), partBytes))
            throw IOException(FULL)
        }

        /** Only records what is synced: the loss of power is simulated, and a sync of the real disk is slow. */
        override fun sync(channel: FileChannel) {
            checkRunning()
            refuseAtRandom()
            if (openFolders[channel] == folder) {
                unsyncedChanges.clear()
                durableNames.clear()
                durableNames.putAll(names)
            }
            val name = openNames[channel] ?: return
            val state = names.getValue(name)
            state.durable = folder.resolve(name).readBytes()
            // A new file becomes durable with its own sync.
            if (unsyncedChanges.removeIf { it.state === state && it.removed == null }) durableNames[name] = state
        }

        override fun truncate(channel: FileChannel, sizeBytes: Long) {
            checkRunning()
            refuseAtRandom()
            SystemFiles.truncate(channel, sizeBytes)
        }

        override fun replace(from: Path, to: Path) {
            checkRunning()
            refuseAtRandom()
            SystemFiles.replace(from, to)
            val oldName = from.fileName.toString()
            record(NameChange(oldName, to.fileName.toString(), names.getValue(oldName)))
        }

        override fun delete(path: Path) {
            checkRunning()
            SystemFiles.delete(path)
            val name = path.fileName.toString()
            names[name]?.let { record(NameChange(name, null, it)) }
        }

        private fun record(change: NameChange) {
            change.applyTo(names)
            unsyncedChanges += change
        }

        private fun refuseAtRandom() {
            if (isFull && random.nextBoolean()) throw IOException(FULL)
        }

        private fun checkRunning() {
            if (operationsUntilKill-- <= 0) isEnded = true
            if (isEnded) throw IOException("the process has ended")
        }
    }

    private companion object {
        const val FULL = "No space left on device"
    }
}
