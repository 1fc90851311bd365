package org.arbutusrelay.core.routing

import java.util.concurrent.atomic.AtomicLong
import kotlin.math.ceil
import kotlin.math.floor

/** The part of the turns at a limited backend server that belongs to this host. */
public data class TurnShare(
    /** Position of this host among those that share the turns, from 0. */
    val rank: Int,
    /** Number of hosts that share the turns; 0 if it is not known, and this host then has none. */
    val hosts: Int,
)

/**
 * The times at which this host may send a request to a backend server that has named a limit.
 *
 * The limit holds for all hosts together. Time is divided into turns of the length of the limit's interval, from
 * [startMs] on, and each turn belongs to one of the hosts, in the order of their ranks. No host saves up turns, so that
 * neither a host that starts or has been suspended nor several hosts together send a burst. [startMs] is a time that
 * all hosts know on their own clocks, to about the time of a message.
 */
internal data class TurnSchedule(val startMs: Long, val limitPermille: Long, val share: TurnShare) {
    private val turnMs = MS_PER_SECOND * PERMILLE / limitPermille.coerceIn(MIN_PERMILLE, MAX_PERMILLE)
    private val periodMs = turnMs * maxOf(1, share.hosts)
    private val firstMs = startMs + share.rank * turnMs

    /** Time for which a turn can be used; short ones can still be used at the next polls of the queue. */
    private val usableMs = maxOf(turnMs, MIN_USABLE_MS)

    /** Requests that this host may send in a millisecond. */
    val ratePerMs: Double get() = if (share.hosts == 0) 0.0 else 1 / periodMs

    /** Returns the number of the last turn of this host that has begun at [nowMs]. */
    fun turnAt(nowMs: Long): Long = floor((nowMs - firstMs) / periodMs).toLong()

    /** Returns the number of the first turn after [usedTurn] that can be used at [nowMs] or later. */
    fun nextTurn(usedTurn: Long, nowMs: Long): Long =
        maxOf(usedTurn + 1, floor((nowMs - usableMs - firstMs) / periodMs).toLong() + 1)

    /** Returns the time at which [turn] begins. */
    fun beginMs(turn: Long): Long = ceil(firstMs + turn * periodMs).toLong()

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

/** Keeps the requests of this host to a backend server to its turns while the server is limited. */
public class RequestTurns {
    private class State(val schedule: TurnSchedule, val usedTurn: AtomicLong)

    @Volatile
    private var state: State? = null

    @Volatile
    private var lastSentMs = Long.MIN_VALUE / 2

    /** True while the backend server is limited. */
    public val isLimited: Boolean get() = state != null

    /** Requests that this host may send in a millisecond; null while the backend server is not limited. */
    public val ratePerMs: Double? get() = state?.schedule?.ratePerMs

    /**
     * Sets the limit, in thousandths of a request per second of all hosts, and this host's share of the turns.
     *
     * Turns are counted from [startMs]. Null ends the limit; returns true if it ends one.
     */
    public fun update(limitPermille: Long?, startMs: Long, share: TurnShare): Boolean {
        val old = state
        if (limitPermille == null) {
            state = null
            return old != null
        }
        val schedule = TurnSchedule(startMs, limitPermille, share)
        // A host that has sent in a turn of the old schedule doesn't get that turn again.
        if (schedule != old?.schedule) state = State(schedule, AtomicLong(schedule.turnAt(lastSentMs)))
        return false
    }

    /** Returns true when a request may be sent at [nowMs]; it reserves nothing. */
    public fun isOpen(nowMs: Long): Boolean {
        val current = state ?: return true
        return current.schedule.isOpen(current.usedTurn.get(), nowMs)
    }

    /** Takes a turn, which must not be given back; returns false when there is none at [nowMs]. */
    public fun tryAcquire(nowMs: Long): Boolean {
        val current = state
        while (current != null) {
            val used = current.usedTurn.get()
            if (!current.schedule.isOpen(used, nowMs)) return false
            if (current.usedTurn.compareAndSet(used, current.schedule.nextTurn(used, nowMs))) break
        }
        lastSentMs = nowMs
        return true
    }

    /** Returns when a request may be sent, [nowMs] at the earliest; [Long.MAX_VALUE] when this host has no turns. */
    public fun nextMs(nowMs: Long): Long {
        val current = state ?: return nowMs
        if (current.schedule.share.hosts == 0) return Long.MAX_VALUE
        val turn = current.schedule.nextTurn(current.usedTurn.get(), nowMs)
        return maxOf(nowMs, current.schedule.beginMs(turn))
    }

    private fun TurnSchedule.isOpen(usedTurn: Long, nowMs: Long): Boolean =
        share.hosts > 0 && nextTurn(usedTurn, nowMs) <= turnAt(nowMs)
}
