package org.arbutusrelay.relay.ingress

import io.netty.handler.codec.http.HttpHeaders

/** A complete request. */
internal class IngressRequest(
    val method: String,
    /** Path and query exactly as sent by the caller. */
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    /** Estimated arrival of the head on the monotonic clock, in milliseconds; the caller's wait counts from it. */
    val receivedMs: Long,
    /** True when a host of another region sent the request. */
    val isForwarded: Boolean,
    /** Releases the memory of the body; called once the request has ended, also more than once. */
    val releaseBody: () -> Unit,
) {
    val authority: String get() = headers["Host"].orEmpty().substringBefore(':')
    val path: String get() = uri.substringBefore('?')
}
