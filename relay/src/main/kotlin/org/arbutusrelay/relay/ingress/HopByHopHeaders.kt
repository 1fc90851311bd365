package org.arbutusrelay.relay.ingress

import io.netty.handler.codec.http.HttpHeaders

/** Headers that apply to a single connection. Source: RFC 9110, section 7.6.1. */
internal object HopByHopHeaders {
    private val names = listOf(
        "Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
        "Content-Length", "Expect",
    )

    /** Removes these headers and those listed in `Connection` from [headers] and returns [headers]. */
    fun strip(headers: HttpHeaders): HttpHeaders {
        headers.getAll("Connection").flatMap { it.split(',') }.map { it.trim() }
            .filter { it.isNotEmpty() && !it.equals("Host", ignoreCase = true) }
            .forEach { headers.remove(it) }
        names.forEach { headers.remove(it) }
        return headers
    }
}
