package org.arbutusrelay.relay.exchange

import org.arbutusrelay.core.suspect.CrashId
import org.arbutusrelay.core.suspect.CrashKeys
import org.arbutusrelay.daemon.site.CrashEvidenceReplica
import org.arbutusrelay.relay.backend.CallFailure
import org.arbutusrelay.relay.dialect.PromptPart
import org.arbutusrelay.relay.ingress.IngressRequest

/**
 * Tells the crash evidence how the attempts of one request end, and whether the request is held back.
 *
 * Only a run on a backend server of this host's choice counts: a host of another region records its own. Keys are
 * computed when they are needed, which for a sound request is once, when its first run is proven.
 */
internal class CrashEvidenceRecorder(
    private val evidence: CrashEvidenceReplica,
    private val request: IngressRequest,
    service: String,
    parts: List<PromptPart>,
) {
    // The last part is specific to the request.
    private val partKeys by lazy {
        parts.dropLast(1).take(MAX_PARTS).map { CrashKeys.ofPart(service, it.id) }.distinct()
    }
    private val requestKey by lazy { CrashKeys.ofRequest(request.authority, request.uri, request.body) }
    private var lastCrash: CrashId? = null
    private val allKeys get() = partKeys + requestKey

    /** True when the request, or a part of its prompt, crashes backend servers and must not be sent to any. */
    val isHeldBack: Boolean
        get() {
            val heldBack = evidence.heldBack
            return heldBack.isNotEmpty() && (partKeys.any { it in heldBack } || requestKey in heldBack)
        }

    /** Records that a run of [attempt] ended with [failure]; only a connection that broke may be a crash. */
    fun recordFailure(attempt: Attempt, failure: CallFailure, runMs: Long) {
        val placed = attempt.placed
        if (failure != CallFailure.BROKEN || placed.backendServer.isEmpty() || attempt.isProven) return
        evidence.recordCrash(placed.backendServer, placed.incarnation, runMs, allKeys, lastCrash)
        lastCrash = CrashId(placed.backendServer, placed.incarnation)
    }

    /** Records that [attempt] delivered a complete response, or the beginning of one. */
    fun recordProven(attempt: Attempt) {
        if (attempt.placed.backendServer.isEmpty()) return
        val keys = if (evidence.hasRequestKeys) allKeys else partKeys
        if (keys.isNotEmpty()) evidence.recordProven(keys)
    }

    private companion object {
        /** More than prompts have; bounds the work for a header that is made up. */
        const val MAX_PARTS = 63
    }
}
