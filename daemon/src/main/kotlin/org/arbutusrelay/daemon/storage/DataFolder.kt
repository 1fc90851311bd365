package org.arbutusrelay.daemon.storage

import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption

/** The data folder of one replica. */
internal class DataFolder(val path: Path) {
    init {
        Files.createDirectories(path)
        path.toAbsolutePath().parent?.let(::syncFolder)
        files().filter { it.endsWith(TEMPORARY_SUFFIX) }.forEach { Files.delete(file(it)) }
    }

    fun file(name: String): Path = path.resolve(name)

    fun files(): List<String> = Files.list(path).use { files -> files.map { it.fileName.toString() }.sorted().toList() }

    /** Replaces a file atomically: after a crash it has either the complete old or the complete new content. */
    fun replace(name: String, content: ByteBuffer) {
        val temporaryFile = file(name + TEMPORARY_SUFFIX)
        val options = arrayOf(StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)
        FileChannel.open(temporaryFile, *options).use { channel ->
            while (content.hasRemaining()) channel.write(content)
            channel.force(true)
        }
        Files.move(temporaryFile, file(name), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
        sync()
    }

    /** Syncs the folder, which makes created, renamed and deleted file names durable. */
    fun sync(): Unit = syncFolder(path)

    private fun syncFolder(folder: Path) {
        FileChannel.open(folder, StandardOpenOption.READ).use { it.force(true) }
    }

    private companion object {
        const val TEMPORARY_SUFFIX = ".tmp"
    }
}
