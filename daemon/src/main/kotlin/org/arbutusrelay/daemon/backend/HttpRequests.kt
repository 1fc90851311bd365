package org.arbutusrelay.daemon.backend

import okhttp3.Headers
import okhttp3.MediaType
import okhttp3.Request
import okhttp3.RequestBody
import okhttp3.Response
import okhttp3.internal.http.HttpMethod
import okio.BufferedSink

/** Converts this request to an HTTP request; drops the headers that apply only to the caller's connection. */
internal fun BackendRequest.toHttpRequest(trace: SendTrace): Request {
    val httpHeaders = Headers.Builder()
    headers.filter { it.name.lowercase() !in HOP_BY_HOP_HEADERS }
        .forEach { httpHeaders.addUnsafeNonAscii(it.name, it.value) }
    val builder = Request.Builder().url(address + target).headers(httpHeaders.build()).tag(SendTrace::class.java, trace)
    val body = SingleUseBody(this.body)
    builder.method(method, if (method in BODILESS_METHODS) null else body)
    return builder.withRequestIdentity(this).build()
}

/** Returns the HTTP request that resumes an event stream after [position]. */
internal fun BackendRequest.toResumeRequest(position: Long): Request = Request.Builder()
    .url("$address/v1/streams/$requestId")
    .header("Accept", ResponseHead.EVENT_STREAM)
    .header("Last-Event-ID", position.toString())
    .withRequestIdentity(this)
    .build()

/** True if the end of the body is delimited, so that truncation can be detected. */
internal fun Response.hasDelimitedBody(): Boolean = body.contentLength() >= 0 ||
    header("Transfer-Encoding").equals("chunked", ignoreCase = true) ||
    code in BODILESS_STATUS_CODES || request.method == "HEAD"

/** True if this response resumes the event stream. */
internal fun Response.isResumedStream(): Boolean =
    isSuccessful && header("Content-Type").orEmpty().startsWith(ResponseHead.EVENT_STREAM)

// An explicit encoding disables OkHttp's transparent compression, which would hide the content length.
private fun Request.Builder.withRequestIdentity(request: BackendRequest): Request.Builder {
    header("Accept-Encoding", "identity")
    header("Arbutus-Request-Id", request.requestId)
    if (request.traceParent.isNotEmpty()) header("traceparent", request.traceParent)
    return this
}

/** A one-shot body, which prevents OkHttp from sending follow-up requests. */
private class SingleUseBody(private val bytes: ByteArray) : RequestBody() {
    override fun contentType(): MediaType? = null

    override fun contentLength(): Long = bytes.size.toLong()

    override fun isOneShot(): Boolean = true

    override fun writeTo(sink: BufferedSink) {
        sink.write(bytes)
    }
}

private val BODILESS_METHODS = setOf("GET", "HEAD")
private val BODILESS_STATUS_CODES = setOf(204, 304)
private val HOP_BY_HOP_HEADERS = setOf(
    "authorization", "connection", "content-length", "host", "keep-alive", "transfer-encoding", "te", "trailer",
    "upgrade", "expect", "accept-encoding", "traceparent", "proxy-authorization", "proxy-connection",
    "arbutus-request-id",
)
