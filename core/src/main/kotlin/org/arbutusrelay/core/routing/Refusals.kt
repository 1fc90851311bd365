package org.arbutusrelay.core.routing

import org.arbutusrelay.core.admission.RetryAfterPlan
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** Why the scheduler refused a request, where the memory of servers is known. */
public enum class RefusalCause {
    /** The request is larger than the memory of any server. */
    MEMORY,

    /** The stream would not end before its deadline. */
    STREAM_END,

    /** The wait for a slot or memory would be longer than requests may wait. */
    FULL,

    /** The request has waited as long as requests may wait, or the queue is full. */
    WAITED,
    ;

    /** Identifier in metrics, such as `stream_end`. */
    public val id: String = name.lowercase()
}

/** Builds refusals, with the time after which the caller is to return. */
internal class Refusals {
    private val plans = ConcurrentHashMap<String, RetryAfterPlan>()
    private val counts = RefusalCause.entries.map { LongAdder() }

    fun count(cause: RefusalCause): Long = counts[cause.ordinal].sum()

    fun of(kind: ErrorKind, retryAfterMs: Long? = kind.retryAfterMs): Placement.Refused {
        val boundedMs = retryAfterMs?.coerceIn(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
        return Placement.Refused(RelayError(kind, retryAfterMs = boundedMs))
    }

    /** Refuses a request that fits into no server's memory; null if one may hold it. */
    fun ofTooLarge(profile: RequestProfile, table: RoutingTable): Placement.Refused? {
        val memoryTokens = table.memoryTokens[profile.serviceName] ?: return null
        if (profile.memoryTokens <= memoryTokens) return null
        counts[RefusalCause.MEMORY.ordinal].increment()
        return of(ErrorKind.REQUEST_TOO_LARGE)
    }

    /**
     * Refuses [profile] with room promised after [roomMs] and behind the requests refused before it.
     *
     * Where the memory of servers is not known, [roomMs] itself is the time to return.
     */
    fun withRoom(
        cause: RefusalCause,
        kind: ErrorKind,
        profile: RequestProfile,
        servers: ServerPool?,
        roomMs: Double,
        nowMs: Long,
    ): Placement.Refused {
        if (servers == null || !servers.isMemoryKnown) return of(kind, roomMs.toLong())
        counts[cause.ordinal].increment()
        val plan = plans.computeIfAbsent(profile.serviceName) { RetryAfterPlan() }
        val spread = BackendSlots.spreadOf(profile.id.hashCode().toLong())
        val intervalMs = servers.times.meanMs() / servers.expectedSlots()
        return of(kind, plan.promise(roomMs, intervalMs, profile.deadlineMs - nowMs, spread, nowMs))
    }

    private companion object {
        const val MIN_RETRY_AFTER_MS = 100L
        const val MAX_RETRY_AFTER_MS = 60_000L
    }
}
