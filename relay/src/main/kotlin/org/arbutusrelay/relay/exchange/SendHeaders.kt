package org.arbutusrelay.relay.exchange

import io.netty.handler.codec.http.HttpHeaders
import org.arbutusrelay.relay.dialect.BackendRequestMetadata
import org.arbutusrelay.relay.dialect.HeaderDialect
import org.arbutusrelay.relay.ingress.HopHeaders
import org.arbutusrelay.relay.ingress.IngressRequest

/** Makes the headers of a request to a backend server or to a host of another region. */
internal object SendHeaders {
    /**
     * Returns the caller's headers and those that this system sets; only a host gets the [forwardedService] and the
     * time since the request arrived, [ageMs], in milliseconds.
     */
    fun of(
        request: IngressRequest,
        dialect: HeaderDialect,
        facts: BackendRequestMetadata,
        forwardedService: String?,
        ageMs: Long,
    ): HttpHeaders {
        val headers = HopHeaders.strip(request.headers.copy())
        ForwardHeaders.removeFrom(headers)
        dialect.encodeRequest(headers, facts)
        forwardedService?.let { ForwardHeaders.put(headers, it, ageMs) }
        // A request without a body and without a length stays without one.
        if (request.body.isNotEmpty() || request.headers.contains("Content-Length")) {
            headers["Content-Length"] = request.body.size
        }
        return headers
    }
}
