package org.arbutusrelay.relay.exchange

import io.netty.handler.codec.http.HttpHeaders
import org.arbutusrelay.core.error.Outcome

/** Headers between hosts of this system; a caller's own are removed. */
internal object ForwardHeaders {
    private const val SERVICE = "Arbutus-Service"
    private const val AGE = "Arbutus-Age-Ms"
    private const val OUTCOME = "Arbutus-Outcome"

    /** Removes what only hosts of this system may say. */
    fun removeFrom(headers: HttpHeaders) {
        headers.remove(SERVICE)
        headers.remove(AGE)
        headers.remove(OUTCOME)
    }

    fun serviceOf(headers: HttpHeaders): String? = headers[SERVICE]

    /** Returns how long the first host has had the request, in milliseconds; 0 when it does not tell. */
    fun ageMsOf(headers: HttpHeaders): Long = headers[AGE]?.toLongOrNull()?.coerceAtLeast(0) ?: 0

    fun put(headers: HttpHeaders, serviceName: String, ageMs: Long) {
        headers[SERVICE] = serviceName
        headers[AGE] = ageMs
    }

    fun putOutcome(headers: HttpHeaders, outcome: Outcome) {
        headers[OUTCOME] = outcome.id
    }

    /** Returns how a request ended that the other host did not answer with a backend server's response. */
    fun outcomeOf(headers: HttpHeaders): Outcome? = headers[OUTCOME]?.let { id -> Outcome.entries.find { it.id == id } }
}
