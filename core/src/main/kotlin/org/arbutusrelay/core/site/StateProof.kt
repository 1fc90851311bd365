package org.arbutusrelay.core.site

import org.arbutusrelay.schema.message.ProofQuery
import org.arbutusrelay.schema.message.ProofReply

/**
 * Proof of one host that the site state it applies was the newest one at a time in the past. Immutable.
 *
 * Times are read from the monotonic clock of the host. A reply proves a time no later than the send time of its query
 * minus the age that it states, so that delays and pauses of either host make a proof older, never younger. Only the
 * latest proven time counts, whichever host proved it; a replaced state host therefore needs no special treatment.
 */
public class StateProof private constructor(
    private val settings: ProofSettings,
    private val tokenOffset: Long,
    private val values: Values,
) {
    /** [tokenOffset] is a random number of the process, at least 0, so that no token of an earlier process matches. */
    public constructor(settings: ProofSettings, tokenOffset: Long) : this(
        settings,
        tokenOffset % MAX_TOKEN_OFFSET,
        Values(),
    )

    /** Returns true if the proof is younger than the time within which a document must take effect, with a margin. */
    public fun isCurrent(nowMs: Long): Boolean = nowMs - values.provenMs < settings.maxAgeMs

    /** Returns the age of the proof, or null if there has never been one. */
    public fun ageMs(nowMs: Long): Long? =
        values.provenMs.takeIf { it != NEVER_MS }?.let { (nowMs - it).coerceAtLeast(0) }

    /** Returns true if the state hosts should be asked now. */
    public fun isQueryDue(nowMs: Long): Boolean = nowMs >= nextQueryMs(nowMs)

    /** Returns when the next reply is expected, as the time from [nowMs]. */
    public fun nextReplyInMs(nowMs: Long): Long {
        val delayMs = values.replyDelayMs
        // The delay of earlier replies says nothing about a state host that cannot be reached.
        if (nowMs - values.lastReplyMs >= settings.maxAgeMs) return UNREACHABLE_RETRY_MS
        val expectedMs = values.lastQueryMs + delayMs
        val replyMs = if (expectedMs > nowMs) expectedMs else maxOf(nextQueryMs(nowMs), nowMs) + delayMs
        return (replyMs - nowMs).coerceIn(MIN_RETRY_MS, UNREACHABLE_RETRY_MS)
    }

    /** Records a query to [hostName] that is sent now. */
    public fun withQuery(hostName: String, nowMs: Long): StateProof {
        val open = values.queries.filter { nowMs - it.sentMs < settings.maxAgeMs } + Query(hostName, nowMs)
        return with(values.copy(queries = open.takeLast(MAX_QUERIES), lastQueryMs = nowMs))
    }

    /** Returns the query to send at [nowMs]. */
    public fun query(nowMs: Long): ProofQuery = ProofQuery(tokenOffset + nowMs)

    /** Processes a reply of [hostName]; a reply to no open query, and a repeated one, changes nothing. */
    public fun withReply(hostName: String, reply: ProofReply, nowMs: Long): StateProof {
        val query = Query(hostName, reply.token - tokenOffset)
        if (query !in values.queries) return this
        val next = values.copy(
            queries = values.queries - query,
            lastReplyMs = maxOf(values.lastReplyMs, nowMs),
            replyDelayMs = nowMs - query.sentMs,
        )
        return with(next).withProof(query.sentMs - reply.ageMs, reply.stateIndex)
    }

    /** Records that the state at [stateIndex] was the newest at [provenMs]; it counts once that state is applied. */
    public fun withProof(provenMs: Long, stateIndex: Long): StateProof {
        if (provenMs <= values.provenMs) return this
        if (stateIndex <= values.installedIndex) return applied(values, values.pending + Proof(provenMs, stateIndex))
        return with(values.copy(pending = reduced(values.pending + Proof(provenMs, stateIndex))))
    }

    /** Records that requests are decided by the state at [stateIndex] or a newer one from now on. */
    public fun withInstalled(stateIndex: Long): StateProof {
        if (stateIndex <= values.installedIndex) return this
        return applied(values.copy(installedIndex = stateIndex), values.pending)
    }

    /** Returns the reply to [query], or null without a current proof; [stateIndex] is the state of this host. */
    public fun answer(query: ProofQuery, stateIndex: Long, nowMs: Long): ProofReply? =
        ageMs(nowMs)?.takeIf { isCurrent(nowMs) }?.let { ProofReply(query.token, it, stateIndex) }

    private fun nextQueryMs(nowMs: Long): Long {
        val isAsExpected = nowMs - values.provenMs <= settings.expectedAgeMs
        return values.lastQueryMs + if (isAsExpected) settings.intervalMs else settings.urgentIntervalMs
    }

    private fun applied(values: Values, proofs: List<Proof>): StateProof {
        val (covered, ahead) = proofs.partition { it.stateIndex <= values.installedIndex }
        val provenMs = maxOf(values.provenMs, covered.maxOfOrNull { it.provenMs } ?: NEVER_MS)
        return with(values.copy(provenMs = provenMs, pending = ahead.filter { it.provenMs > provenMs }))
    }

    /** Keeps the latest time of each state, of the newest states. */
    private fun reduced(proofs: List<Proof>): List<Proof> = proofs.groupBy { it.stateIndex }
        .map { (_, ofState) -> ofState.maxBy { it.provenMs } }
        .sortedBy { it.stateIndex }
        .takeLast(MAX_PENDING)

    private fun with(next: Values) = StateProof(settings, tokenOffset, next)

    private data class Values(
        val provenMs: Long = NEVER_MS,
        val installedIndex: Long = -1,
        val pending: List<Proof> = emptyList(),
        val queries: List<Query> = emptyList(),
        val lastQueryMs: Long = NEVER_MS,
        val lastReplyMs: Long = NEVER_MS,
        val replyDelayMs: Long = 0,
    )

    private data class Proof(val provenMs: Long, val stateIndex: Long)

    private data class Query(val hostName: String, val sentMs: Long)

    private companion object {
        /** Distant past; leaves room to add durations without overflow. */
        const val NEVER_MS = Long.MIN_VALUE / 4

        /** Leaves room to add the time since the start of the process. */
        const val MAX_TOKEN_OFFSET = 1L shl 52

        /** Queries to three state hosts every 250 ms for [ProofSettings.maxAgeMs], rounded up. */
        const val MAX_QUERIES = 64

        /** States that may be announced before the first of them is applied; more than one is rare. */
        const val MAX_PENDING = 8
        const val UNREACHABLE_RETRY_MS = 1_000L

        /** Callers that return within less find the same proof. */
        const val MIN_RETRY_MS = 50L
    }
}
