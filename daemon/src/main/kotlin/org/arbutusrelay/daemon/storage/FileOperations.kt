package org.arbutusrelay.daemon.storage

import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.OpenOption
import java.nio.file.Path
import java.nio.file.StandardCopyOption

/** File operations of a replica's storage that change the disk; each may fail with an [java.io.IOException]. */
internal interface FileOperations {
    fun open(path: Path, vararg options: OpenOption): FileChannel

    /** Writes all remaining bytes of [content]. */
    fun write(channel: FileChannel, content: ByteBuffer)

    fun sync(channel: FileChannel)

    fun truncate(channel: FileChannel, sizeBytes: Long)

    /** Renames [from] to [to] atomically and replaces an existing file. */
    fun replace(from: Path, to: Path)

    /** Deletes the file if it exists. */
    fun delete(path: Path)
}

/** File operations of the operating system. */
internal object SystemFiles : FileOperations {
    override fun open(path: Path, vararg options: OpenOption): FileChannel = FileChannel.open(path, *options)

    override fun write(channel: FileChannel, content: ByteBuffer) {
        while (content.hasRemaining()) channel.write(content)
    }

    override fun sync(channel: FileChannel): Unit = channel.force(true)

    override fun truncate(channel: FileChannel, sizeBytes: Long) {
        channel.truncate(sizeBytes)
    }

    override fun replace(from: Path, to: Path) {
        Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
    }

    override fun delete(path: Path) {
        Files.deleteIfExists(path)
    }
}
