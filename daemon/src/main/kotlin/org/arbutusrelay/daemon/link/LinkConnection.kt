package org.arbutusrelay.daemon.link

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import org.arbutusrelay.schema.message.LinkFrame

/** Signals that a connection is closed because of [closure]; does not leave the link code. */
internal class LinkClosedException(val closure: LinkClosure, detail: String) : Exception(detail)

/** Reads and writes frames on one socket. */
internal class LinkConnection(private val socket: Socket) {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)

    /** Reads the next frame; throws [LinkClosedException] if it exceeds [maxBytes] or cannot be decoded. */
    suspend fun read(maxBytes: Int = FrameCodec.MAX_BODY_BYTES): LinkFrame {
        val size = input.readInt()
        if (size !in 1..maxBytes) {
            throw LinkClosedException(LinkClosure.OVERSIZE_FRAME, "frame length $size is out of bounds")
        }
        val body = ByteArray(size)
        input.readFully(body)
        return FrameCodec.decode(body)
            ?: throw LinkClosedException(LinkClosure.MALFORMED_FRAME, "a frame of $size bytes cannot be decoded")
    }

    /** Writes a frame body with its length prefix to the output buffer; call [flush] to send it. */
    suspend fun write(body: ByteArray) {
        output.writeInt(body.size)
        output.writeFully(body)
    }

    suspend fun flush(): Unit = output.flush()

    fun close(): Unit = socket.close()
}
