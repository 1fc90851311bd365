package org.arbutusrelay.daemon.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.javalin.http.Context
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.daemon.RelayClock
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeoutException

/** Reads request bodies within a size limit and a time limit. */
public class BodyReader(private val clock: RelayClock, private val timeoutMs: Long, maxConcurrentReads: Int) {
    // A slow sender occupies a server thread, so each group of routes may use only a share of the threads.
    private val readPermits = Semaphore(maxConcurrentReads)

    /** Returns the body, `BODY_TOO_LARGE`, `SLOW_SENDER`, `OVERLOADED`, or `MALFORMED_REQUEST` when it is truncated. */
    public fun read(ctx: Context, maxBytes: Long): Either<RelayError, ByteArray> {
        if (!readPermits.tryAcquire()) {
            return RelayError(
                ErrorKind.OVERLOADED,
                "too many requests are being received",
            ).left()
        }
        return try {
            receive(ctx, maxBytes)
        } finally {
            readPermits.release()
        }
    }

    private fun receive(ctx: Context, maxBytes: Long): Either<RelayError, ByteArray> {
        val contentLength = ctx.req().contentLengthLong
        if (contentLength > maxBytes) return bodyTooLarge(maxBytes)
        val deadlineMs = clock.nowMs() + timeoutMs
        val body =
            ByteArrayOutputStream(contentLength.coerceIn(INITIAL_BYTES, maxBytes.coerceAtLeast(INITIAL_BYTES)).toInt())
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (true) {
                val read = ctx.req().inputStream.read(buffer)
                if (read < 0) return body.toByteArray().right()
                if (body.size() + read > maxBytes) return bodyTooLarge(maxBytes)
                // The connection's idle timeout bounds each read; this bounds a sender that trickles data.
                if (clock.nowMs() > deadlineMs) return slow()
                body.write(buffer, 0, read)
            }
        } catch (e: IOException) {
            return if (e.isTimeout()) slow() else RelayError(ErrorKind.MALFORMED_REQUEST, "the body broke off").left()
        }
    }

    private fun bodyTooLarge(maxBytes: Long) =
        RelayError(ErrorKind.BODY_TOO_LARGE, "the limit is $maxBytes bytes").left()

    private fun slow() = RelayError(ErrorKind.SLOW_SENDER, "the limit is $timeoutMs ms").left()

    private fun IOException.isTimeout() = generateSequence<Throwable>(this) { it.cause }.any { it is TimeoutException }

    private companion object {
        private const val INITIAL_BYTES = 1_024L
        private const val BUFFER_BYTES = 8_192
    }
}
