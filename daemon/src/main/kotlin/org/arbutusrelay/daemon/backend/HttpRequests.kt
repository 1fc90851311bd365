package org.arbutusrelay.daemon.backend

import okhttp3.Headers
import okhttp3.MediaType
import okhttp3.Request
import okhttp3.RequestBody
import okhttp3.Response
import okhttp3.internal.http.HttpMethod
import okio.BufferedSink

/** Returns the HTTP request that sends this one, without the headers of the caller's own hop. */
internal fun BackendRequest.toHttp(trace: SendTrace): Request {
    val passedOn = Headers.Builder()
    headers.filter { it.name.lowercase() !in HOP_HEADERS }.forEach { passedOn.addUnsafeNonAscii(it.name, it.value) }
    val builder = Request.Builder().url(address + target).headers(passedOn.build()).tag(SendTrace::class.java, trace)
    val body = SingleUseBody(this.body)
    builder.method(method, if (method in BODILESS_METHODS) null else body)
    return builder.withIdentity(this).build()
}

/** Returns the HTTP request that continues an event stream after [position]. */
internal fun BackendRequest.toResume(position: Long): Request = Request.Builder()
    .url("$address/v1/streams/$requestId")
    .header("Accept", ResponseHead.EVENT_STREAM)
    .header("Last-Event-ID", position.toString())
    .withIdentity(this)
    .build()

/** True when the end of the body is marked, so that a body that breaks off is noticed. */
internal fun Response.hasMarkedEnd(): Boolean = body.contentLength() >= 0 ||
    header("Transfer-Encoding").equals("chunked", ignoreCase = true) ||
    code in BODILESS || request.method == "HEAD"

/** True when a resumed stream continues in this response. */
internal fun Response.isResumed(): Boolean =
    isSuccessful && header("Content-Type").orEmpty().startsWith(ResponseHead.EVENT_STREAM)

// The explicit encoding switches off OkHttp's transparent compression, which would hide the content length.
private fun Request.Builder.withIdentity(request: BackendRequest): Request.Builder {
    header("Accept-Encoding", "identity")
    header("Arbutus-Request-Id", request.requestId)
    if (request.traceParent.isNotEmpty()) header("traceparent", request.traceParent)
    return this
}

/** A body that OkHttp may write only once, which rules out its follow-up requests. */
private class SingleUseBody(private val bytes: ByteArray) : RequestBody() {
    override fun contentType(): MediaType? = null

    override fun contentLength(): Long = bytes.size.toLong()

    override fun isOneShot(): Boolean = true

    override fun writeTo(sink: BufferedSink) {
        sink.write(bytes)
    }
}

private val BODILESS_METHODS = setOf("GET", "HEAD")
private val BODILESS = setOf(204, 304)
private val HOP_HEADERS = setOf(
    "authorization", "connection", "content-length", "host", "keep-alive", "transfer-encoding", "te", "trailer",
    "upgrade", "expect", "accept-encoding", "traceparent", "proxy-authorization", "proxy-connection",
    "arbutus-request-id",
)
