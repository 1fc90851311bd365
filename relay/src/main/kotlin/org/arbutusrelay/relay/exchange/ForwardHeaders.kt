package org.arbutusrelay.relay.exchange

import io.netty.handler.codec.http.HttpHeaders
import org.arbutusrelay.core.error.Outcome

/** Headers used between relay hosts; they are removed from requests and responses of callers. */
internal object ForwardHeaders {
    private const val SERVICE = "Arbutus-Service"
    private const val AGE = "Arbutus-Age-Ms"
    private const val OUTCOME = "Arbutus-Outcome"

    /** Removes the headers that only relay hosts may set. */
    fun removeFrom(headers: HttpHeaders) {
        headers.remove(SERVICE)
        headers.remove(AGE)
        headers.remove(OUTCOME)
    }

    fun serviceOf(headers: HttpHeaders): String? = headers[SERVICE]

    /** Returns the time since the first host received the request, in milliseconds; 0 when not specified. */
    fun ageMsOf(headers: HttpHeaders): Long = headers[AGE]?.toLongOrNull()?.coerceAtLeast(0) ?: 0

    fun put(headers: HttpHeaders, serviceName: String, ageMs: Long) {
        headers[SERVICE] = serviceName
        headers[AGE] = ageMs
    }

    fun putOutcome(headers: HttpHeaders, outcome: Outcome) {
        headers[OUTCOME] = outcome.id
    }

    /** Returns the outcome reported by the other host; null when it forwarded the response of a backend server. */
    fun outcomeOf(headers: HttpHeaders): Outcome? = headers[OUTCOME]?.let { id -> Outcome.entries.find { it.id == id } }
}
