package org.arbutusrelay.daemon.storage

import java.nio.ByteBuffer
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption

/** The data folder of one replica. */
internal class DataFolder(val path: Path, val operations: FileOperations = SystemFiles) {
    init {
        Files.createDirectories(path)
        path.toAbsolutePath().parent?.let(::syncFolder)
        files().filter { it.endsWith(TEMPORARY_SUFFIX) }.forEach { operations.delete(file(it)) }
        // A process that was killed may have left names that are not synced, and this one relies on their files.
        sync()
    }

    fun file(name: String): Path = path.resolve(name)

    fun files(): List<String> = Files.list(path).use { files -> files.map { it.fileName.toString() }.sorted().toList() }

    /** Replaces a file atomically: after a crash it has either the complete old or the complete new content. */
    fun replace(name: String, content: ByteBuffer) {
        val temporaryFile = file(name + TEMPORARY_SUFFIX)
        val options = arrayOf(StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)
        operations.open(temporaryFile, *options).use { channel ->
            operations.write(channel, content)
            operations.sync(channel)
        }
        operations.replace(temporaryFile, file(name))
        sync()
    }

    /** Syncs the folder, which makes created, renamed and deleted file names durable. */
    fun sync(): Unit = syncFolder(path)

    private fun syncFolder(folder: Path) {
        operations.open(folder, StandardOpenOption.READ).use(operations::sync)
    }

    private companion object {
        const val TEMPORARY_SUFFIX = ".tmp"
    }
}
