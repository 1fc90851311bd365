package org.arbutusrelay.daemon.storage

import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.OpenOption
import java.nio.file.Path

/** Files on a disk that refuses the operation with the number [failAt], counted from 0, and all until [isFull] ends. */
internal class FaultyDisk(private val failAt: Int = Int.MAX_VALUE) : FileOperations {
    var isFull = false
    private var operationCount = 0

    override fun open(path: Path, vararg options: OpenOption): FileChannel {
        check()
        return SystemFiles.open(path, *options)
    }

    override fun write(channel: FileChannel, content: ByteBuffer) {
        // A write that fails may have written a part.
        if (isFailing()) SystemFiles.write(channel, content.slice(content.position(), content.remaining() / 2))
        check()
        SystemFiles.write(channel, content)
    }

    override fun sync(channel: FileChannel) {
        check()
        SystemFiles.sync(channel)
    }

    override fun truncate(channel: FileChannel, sizeBytes: Long) {
        check()
        SystemFiles.truncate(channel, sizeBytes)
    }

    override fun replace(from: Path, to: Path) {
        check()
        SystemFiles.replace(from, to)
    }

    override fun delete(path: Path) {
        check()
        SystemFiles.delete(path)
    }

    private fun isFailing() = isFull || operationCount == failAt

    private fun check() {
        val isFailing = isFailing()
        operationCount++
        if (isFailing) throw IOException("No space left on device")
    }
}
