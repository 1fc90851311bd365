package org.arbutusrelay.daemon.observe

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.Logger
import org.arbutusrelay.core.relay.LogRateLimiter
import org.arbutusrelay.schema.log.EventLine
import org.arbutusrelay.schema.log.EventLine.Event
import java.util.concurrent.ConcurrentHashMap

/**
 * Writes structured log lines: decisions on requests, and changes in this host's view of the system.
 *
 * Each kind of line has its own rate limit, so that a flood of one kind does not hide another. While the [buffer] is at
 * least half full, only failures and changes of system state are written. A line that does not fit is dropped without
 * blocking the caller. [counters] count every line, written or not. Thread-safe.
 */
public class EventLog(
    private val nowMs: () -> Long,
    private val buffer: LogBuffer = LogBuffer.ofConfiguration(),
    private val counters: EventCounters = EventCounters.None,
    private val logger: Logger = LogManager.getLogger(EventLog::class.java),
) : EventSink {
    private val limiters = ConcurrentHashMap<LimiterKey, LogRateLimiter>()

    /** Writes [line] unless its kind has reached its rate limit or the buffer has no room for it. */
    override fun write(line: EventLine) {
        counters.count(line.event)
        val group = LineGroup.of(line)
        if (buffer.remaining <= buffer.capacity * group.reservedShare) return counters.countLineDrop(LineDrop.BUFFER)
        val key = LimiterKey(line.event, group, line.kind ?: line.failure)
        val limiter = limiters.computeIfAbsent(key) { LogRateLimiter(group.maxLinesPerSecond, LIMIT_WINDOW_MS) }
        val leftOut =
            synchronized(limiter) { limiter.tryAcquire(nowMs()) } ?: return counters.countLineDrop(LineDrop.LIMIT)
        logger.log(levelOf(line.event), EventMessage(if (leftOut > 0) line.copy(leftOut = leftOut) else line))
    }

    private fun levelOf(event: Event): Level = when (event) {
        Event.GUARANTEE_VIOLATED -> Level.ERROR
        Event.DOCUMENT_REFUSED, Event.DOCUMENT_PROOF_LOST, Event.SETTINGS_REFUSED -> Level.WARN
        else -> Level.INFO
    }

    /** Error kinds and failures are limited separately, so that frequent ones do not hide rare ones. */
    private data class LimiterKey(val event: Event, val group: LineGroup, val reason: String?)

    private companion object {
        const val LIMIT_WINDOW_MS = 1_000L
    }
}

/** Counts the lines of a log. */
public interface EventCounters {
    /** Counts a line, whether it is written or not. */
    public fun count(event: Event)

    /** Counts a line that was not written. */
    public fun countLineDrop(reason: LineDrop)

    /** Counts nothing. */
    public object None : EventCounters {
        override fun count(event: Event): Unit = Unit

        override fun countLineDrop(reason: LineDrop): Unit = Unit
    }
}

/** Why a line was not written. */
public enum class LineDrop {
    /** Its kind had reached its rate limit. */
    LIMIT,

    /** The buffer had no room for it. */
    BUFFER,
    ;

    /** Name in metrics, such as `limit`. */
    public val id: String = name.lowercase()
}

/**
 * Lines that share a rate limit per kind and a buffer reserve.
 *
 * @property maxLinesPerSecond Limit for lines of one kind per second; writing a line costs about as much processor
 * time as forwarding a short request.
 * @property reservedShare Share of the buffer that must stay free for other groups.
 */
internal enum class LineGroup(val maxLinesPerSecond: Int, val reservedShare: Double) {
    /** Normal steps of requests. */
    PROGRESS(5, 0.5),

    /** Failures of requests, retries and cancellations by the caller. */
    FAILURE(10, 0.1),

    /** Changes in this host's view of the system; tens of hosts and backend servers of a site may change at once. */
    SYSTEM_STATE(100, 0.0),
    ;

    companion object {
        /** Returns the group of [line]; a placement on a cold backend server is rare and may crash it. */
        fun of(line: EventLine): LineGroup = when (line.event) {
            Event.REQUEST_PLACED -> if ((line.coldMs ?: 0) > 0) FAILURE else PROGRESS
            Event.REQUEST_QUEUED, Event.REQUEST_ANSWERED -> PROGRESS
            Event.REQUEST_RESENT, Event.ATTEMPT_FAILED, Event.REQUEST_FAILED, Event.CALLER_LEFT -> FAILURE
            else -> SYSTEM_STATE
        }
    }
}
