package org.arbutusrelay.core.routing

import org.arbutusrelay.core.membership.Rendezvous
import java.util.concurrent.atomic.AtomicLong
import kotlin.math.ceil
import kotlin.math.floor

/** The hosts that share the turns at a limited backend server, and this one among them. */
public data class TurnShare(
    val self: String,
    /** Names of the hosts; this host has no turns while it is not one of them. */
    val hosts: Set<String>,
)

/**
 * The times at which this host may send a request to a backend server that has named a limit.
 *
 * The limit holds for all hosts together. Time is divided into turns of the length of the limit's interval, from
 * [startMs] on, and each turn belongs to one of the hosts, by rendezvous hashing: while hosts do not agree on who
 * shares the turns, only those of the hosts in question are used twice or not at all. No host saves up turns, so that
 * neither a host that starts or has been suspended nor several hosts together send a burst. [startMs] is a time that
 * all hosts know on their own clocks, to about the time of a message.
 */
internal data class TurnSchedule(
    val server: String,
    val startMs: Long,
    val limitPermille: Long,
    val share: TurnShare,
) {
    private val turnMs = MS_PER_SECOND * PERMILLE / limitPermille.coerceIn(MIN_PERMILLE, MAX_PERMILLE)
    private val serverSeed = server.hashCode().toLong() shl Int.SIZE_BITS

    /** Time for which a turn can be used; short ones can still be used at the next polls of the queue. */
    private val usableMs = maxOf(turnMs, MIN_USABLE_MS)

    /** True if some of the turns belong to this host. */
    val hasTurns: Boolean = share.self in share.hosts

    /** Requests that this host may send in a millisecond, on average. */
    val ratePerMs: Double get() = if (hasTurns) 1 / (turnMs * share.hosts.size) else 0.0

    /** Returns the number of the turn, of any host, at [nowMs]. */
    fun turnAt(nowMs: Long): Long = floor((nowMs - startMs) / turnMs).toLong()

    /** Returns the number of the first turn, of any host, after [usedTurn] that can be used at [nowMs] or later. */
    fun firstUsable(usedTurn: Long, nowMs: Long): Long =
        maxOf(usedTurn + 1, floor((nowMs - usableMs - startMs) / turnMs).toLong() + 1)

    /** Returns the number of the first turn of this host from [turn] on; there must be one. */
    fun ownTurnFrom(turn: Long): Long {
        var next = turn
        while (ownerOf(next) != share.self) next++
        return next
    }

    /** Returns the time at which [turn] begins. */
    fun beginMs(turn: Long): Long = ceil(startMs + turn * turnMs).toLong()

    private fun ownerOf(turn: Long): String =
        share.hosts.maxBy { Rendezvous.bucket(it, serverSeed xor turn, Long.MAX_VALUE) }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
        const val PERMILLE = 1_000L

        /**
         * A server whose limit is 0, or next to it, still gets a request every ten seconds, as only a response tells
         * that the limit has ended.
         */
        const val MIN_PERMILLE = 100L

        /** Above this rate, which is more than one host sends, turns shorter than a millisecond have no effect. */
        const val MAX_PERMILLE = 1_000_000L

        /** Ten polls of the queue; a twentieth of the time in which servers count their requests. */
        const val MIN_USABLE_MS = 200.0
    }
}

/** Keeps the requests of this host to the backend server [server] to its turns while the server is limited. */
public class RequestTurns(private val server: String) {
    private class State(val schedule: TurnSchedule, val usedTurn: AtomicLong) {
        /** The first turn of this host among those from [from] to [turn]; saves looking for it at each request. */
        class Found(val from: Long, val turn: Long)

        @Volatile
        private var found = Found(0, -1)

        /** Returns the next turn of this host that can be used at [nowMs] or later. */
        fun nextTurn(nowMs: Long): Long {
            val first = schedule.firstUsable(usedTurn.get(), nowMs)
            val known = found
            if (first in known.from..known.turn) return known.turn
            return schedule.ownTurnFrom(first).also { found = Found(first, it) }
        }

        fun isOpen(nowMs: Long): Boolean = schedule.hasTurns && nextTurn(nowMs) <= schedule.turnAt(nowMs)
    }

    @Volatile
    private var state: State? = null

    @Volatile
    private var lastSentMs = Long.MIN_VALUE / 2

    /** True while the backend server is limited. */
    public val isLimited: Boolean get() = state != null

    /** Requests that this host may send in a millisecond; null while the backend server is not limited. */
    public val ratePerMs: Double? get() = state?.schedule?.ratePerMs

    /**
     * Sets the limit, in thousandths of a request per second of all hosts, and the hosts that share the turns.
     *
     * Turns are counted from [startMs]. Null ends the limit; returns true if it ends one.
     */
    public fun update(limitPermille: Long?, startMs: Long, share: TurnShare): Boolean {
        val old = state
        if (limitPermille == null) {
            state = null
            return old != null
        }
        val schedule = TurnSchedule(server, startMs, limitPermille, share)
        // A host that has sent in a turn of the old schedule doesn't get that turn again.
        if (schedule != old?.schedule) state = State(schedule, AtomicLong(schedule.turnAt(lastSentMs)))
        return false
    }

    /** Returns true when a request may be sent at [nowMs]; it reserves nothing. */
    public fun isOpen(nowMs: Long): Boolean = state?.isOpen(nowMs) ?: true

    /** Takes a turn, which must not be given back; returns false when there is none at [nowMs]. */
    public fun tryAcquire(nowMs: Long): Boolean {
        val current = state
        while (current != null) {
            val used = current.usedTurn.get()
            if (!current.isOpen(nowMs)) return false
            if (current.usedTurn.compareAndSet(used, current.nextTurn(nowMs))) break
        }
        lastSentMs = nowMs
        return true
    }

    /** Returns when a request may be sent, [nowMs] at the earliest; an estimate while this host knows no turns. */
    public fun nextMs(nowMs: Long): Long {
        val current = state ?: return nowMs
        if (!current.schedule.hasTurns) return nowMs + UNKNOWN_SHARE_MS
        return maxOf(nowMs, current.schedule.beginMs(current.nextTurn(nowMs)))
    }

    private companion object {
        /** A host that has started knows the others about a second after it has reached a majority of state hosts. */
        const val UNKNOWN_SHARE_MS = 1_000L
    }
}
