package org.arbutusrelay.daemon.storage

import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption

/** The folder of one replica. */
internal class DataFolder(val path: Path) {
    init {
        Files.createDirectories(path)
        path.toAbsolutePath().parent?.let(::syncFolder)
        files().filter { it.endsWith(TEMPORARY) }.forEach { Files.delete(file(it)) }
    }

    fun file(name: String): Path = path.resolve(name)

    fun files(): List<String> = Files.list(path).use { files -> files.map { it.fileName.toString() }.sorted().toList() }

    /** Replaces a file so that after a crash either the old or the new content is there, whole. */
    fun replace(name: String, content: ByteBuffer) {
        val temporary = file(name + TEMPORARY)
        val options = arrayOf(StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)
        FileChannel.open(temporary, *options).use { channel ->
            while (content.hasRemaining()) channel.write(content)
            channel.force(true)
        }
        Files.move(temporary, file(name), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
        sync()
    }

    /** Makes created, renamed and deleted names durable. */
    fun sync(): Unit = syncFolder(path)

    private fun syncFolder(folder: Path) {
        FileChannel.open(folder, StandardOpenOption.READ).use { it.force(true) }
    }

    private companion object {
        const val TEMPORARY = ".tmp"
    }
}
