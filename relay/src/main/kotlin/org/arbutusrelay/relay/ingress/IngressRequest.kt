package org.arbutusrelay.relay.ingress

import io.netty.handler.codec.http.HttpHeaders

/** A request that was read in full. */
internal class IngressRequest(
    val method: String,
    /** Path and query as the caller sent them. */
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    /** When the request was read, on the monotonic clock, in milliseconds. */
    val receivedMs: Long,
    /** True when a host of another region sent the request. */
    val isForwarded: Boolean,
) {
    val authority: String get() = headers["Host"].orEmpty().substringBefore(':')
    val path: String get() = uri.substringBefore('?')
}
