package org.arbutusrelay.core.site

import org.arbutusrelay.schema.message.ServerLimit
import kotlin.math.abs

/**
 * What a host knows of the request limit of one incarnation of a backend server.
 *
 * A response that names a limit counts from its arrival, and one that names none from the sending of its request:
 * between the two, the server may have written either of them last, and the limit is the safe side. Times are
 * monotonic, in milliseconds.
 */
internal data class LimitRecord(
    /** Limit in thousandths of a request per second; null once a response has named none. */
    val permille: Long?,
    /** Time of the statement. */
    val atMs: Long,
    /** Time since when the server has named a limit, or has named none. */
    val sinceMs: Long,
) {
    /** Returns true while hosts must keep to the limit. */
    fun isInForce(nowMs: Long): Boolean = permille != null && nowMs - atMs < EXPIRY_MS

    /** Returns the message to other hosts, or null once it would tell them nothing. */
    fun toMessage(name: String, incarnation: Long, nowMs: Long): ServerLimit? {
        if (nowMs - atMs >= EXPIRY_MS) return null
        val ageMs = (nowMs - atMs).coerceAtLeast(0)
        return ServerLimit(name, incarnation, permille, ageMs, (nowMs - sinceMs).coerceAtLeast(0))
    }

    companion object {
        /**
         * Time after which a limit that no response repeats ends: six times the longest time between two requests of
         * all hosts to a limited server. A server that answers none in that time is not kept from requests for ever.
         */
        const val EXPIRY_MS = 60_000L

        /** Longest time that a statement is assumed to take to another host, which counts its age from the arrival. */
        private const val SPREAD_MS = 250L

        /** Statements of the same limit within this time are the same to a host that hears of them by several ways. */
        const val RENEWAL_MS = 500L

        /** Time for which responses without a limit renew its end, for hosts that heard of a limit at the same time. */
        private const val END_REPEAT_MS = 5_000L

        /** Returns what is known at [nowMs] after a response with [permille] to a request that was sent at [sentMs]. */
        fun afterResponse(old: LimitRecord?, permille: Long?, sentMs: Long, nowMs: Long): LimitRecord? {
            val wasInForce = old?.isInForce(nowMs) == true
            if (permille != null) {
                val sinceMs = if (old != null && wasInForce) old.sinceMs else nowMs
                return LimitRecord(permille, nowMs, sinceMs)
            }
            if (old == null) return null
            val ended = LimitRecord(null, sentMs - SPREAD_MS, nowMs)
            return when {
                wasInForce -> if (sentMs >= old.atMs) ended else old

                old.permille == null && nowMs - old.sinceMs < END_REPEAT_MS && ended.atMs > old.atMs ->
                    ended.copy(sinceMs = old.sinceMs)

                else -> old
            }
        }

        /** Returns what is known after another host has told [news]. */
        fun merge(old: LimitRecord?, news: LimitRecord): LimitRecord = when {
            old == null -> news

            old.permille == null || news.permille == null ->
                if (news.atMs > old.atMs || (news.atMs == old.atMs && news.permille != null)) news else old

            else -> {
                // Ages grow by the time on the way, so that a statement that comes back is not a newer one.
                val isNewer = news.atMs > old.atMs + (if (news.permille == old.permille) RENEWAL_MS else 0)
                val latest = if (isNewer) news else old
                latest.copy(sinceMs = minOf(old.sinceMs, news.sinceMs))
            }
        }

        /** Returns true if a host that knows [old] has to be told [new] at once. */
        fun isChange(old: LimitRecord?, new: LimitRecord?): Boolean {
            val oldPermille = old?.permille
            val permille = new?.permille
            if (old == null || oldPermille == null || permille == null) return oldPermille != permille
            // A server may name a slightly different limit in each response; the next report tells of it.
            val isOtherRate = abs(permille - oldPermille) * MAX_CHANGE_DIVISOR > oldPermille
            return isOtherRate || old.sinceMs - new.sinceMs > RENEWAL_MS
        }

        /** A limit that differs by less than a tenth is told with the next report. */
        private const val MAX_CHANGE_DIVISOR = 10
    }
}

/** Returns the record of a message that arrived at [nowMs]. */
internal fun ServerLimit.toRecord(nowMs: Long): LimitRecord = LimitRecord(limitPermille, nowMs - ageMs, nowMs - heldMs)
