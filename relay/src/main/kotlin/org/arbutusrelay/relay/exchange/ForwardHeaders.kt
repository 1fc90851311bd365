package org.arbutusrelay.relay.exchange

import io.netty.handler.codec.http.HttpHeaders
import org.arbutusrelay.core.error.Outcome

/** What a host tells the host of another region about a request. */
internal data class ForwardMetadata(
    val serviceName: String,
    /** Time since the first host received the request, in milliseconds. */
    val ageMs: Long,
    /** Identifies this send of the request; the other host repeats it in its response. */
    val sendId: String,
    /** Tenant that the first host found by the caller's key; null on a route that needs none. */
    val tenantName: String? = null,
    /** Software version at which the stream must go on; null if any will do. */
    val softwareVersion: String? = null,
)

/** Headers used between relay hosts; they are removed from requests of callers and from responses to them. */
internal object ForwardHeaders {
    private const val SERVICE = "Arbutus-Service"
    private const val AGE = "Arbutus-Age-Ms"
    private const val SEND = "Arbutus-Send"
    private const val OUTCOME = "Arbutus-Outcome"
    private const val TENANT = "Arbutus-Tenant"
    private const val SOFTWARE_VERSION = "Arbutus-Software-Version"

    /** Removes the headers that only relay hosts may set. */
    fun removeFrom(headers: HttpHeaders) {
        headers.remove(SERVICE)
        headers.remove(AGE)
        headers.remove(SEND)
        headers.remove(OUTCOME)
        headers.remove(TENANT)
        headers.remove(SOFTWARE_VERSION)
    }

    fun serviceOf(headers: HttpHeaders): String? = headers[SERVICE]

    /** Returns the time since the first host received the request, in milliseconds; 0 when not specified. */
    fun ageMsOf(headers: HttpHeaders): Long = headers[AGE]?.toLongOrNull()?.coerceAtLeast(0) ?: 0

    /** Returns the send that a request or a response names; null for a backend server or an older version. */
    fun sendIdOf(headers: HttpHeaders): String? = headers[SEND]

    fun put(headers: HttpHeaders, metadata: ForwardMetadata) {
        headers[SERVICE] = metadata.serviceName
        headers[AGE] = metadata.ageMs
        headers[SEND] = metadata.sendId
        metadata.tenantName?.let { headers[TENANT] = it }
        metadata.softwareVersion?.let { headers[SOFTWARE_VERSION] = it }
    }

    /**
     * Returns the software version that a request asks for, or that of the server which sent a response; null when not
     * specified.
     */
    fun softwareVersionOf(headers: HttpHeaders): String? = headers[SOFTWARE_VERSION]

    /** Returns the name of the tenant in a request that another host forwarded, or null. */
    fun tenantOf(headers: HttpHeaders): String? = headers[TENANT]

    /** Names the send that a response answers, and the version of the server that sent it unless that is empty. */
    fun putSource(headers: HttpHeaders, sendId: String, softwareVersion: String) {
        headers[SEND] = sendId
        if (softwareVersion.isNotEmpty()) headers[SOFTWARE_VERSION] = softwareVersion
    }

    fun putOutcome(headers: HttpHeaders, outcome: Outcome) {
        headers[OUTCOME] = outcome.id
    }

    /** Returns the outcome reported by the other host; null when it forwarded the response of a backend server. */
    fun outcomeOf(headers: HttpHeaders): Outcome? = headers[OUTCOME]?.let { id -> Outcome.entries.find { it.id == id } }
}
