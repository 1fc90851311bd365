package org.arbutusrelay.relay.exchange

import io.netty.handler.codec.http.HttpHeaders
import org.arbutusrelay.relay.dialect.BackendRequestMetadata
import org.arbutusrelay.relay.dialect.HeaderDialect
import org.arbutusrelay.relay.ingress.HopByHopHeaders
import org.arbutusrelay.relay.ingress.IngressRequest

/** Builds the headers of a request to a backend server or to a host of another region. */
internal object BackendRequestHeaders {
    /**
     * Returns the caller's end-to-end headers together with those that the relay sets.
     *
     * Those between relay hosts are set only when [forward] is not null, that is for a host of another region.
     */
    fun of(
        request: IngressRequest,
        dialect: HeaderDialect,
        metadata: BackendRequestMetadata,
        forward: ForwardMetadata?,
    ): HttpHeaders {
        val headers = HopByHopHeaders.strip(request.headers.copy())
        ForwardHeaders.removeFrom(headers)
        dialect.encodeRequest(headers, metadata)
        forward?.let { ForwardHeaders.put(headers, it) }
        // No Content-Length is added to a request that has neither a body nor that header.
        if (request.body.isNotEmpty() || request.headers.contains("Content-Length")) {
            headers["Content-Length"] = request.body.size
        }
        return headers
    }
}
