package org.arbutusrelay.daemon.observe

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.Logger
import org.arbutusrelay.core.relay.LogRateLimiter
import org.arbutusrelay.schema.log.EventLine
import org.arbutusrelay.schema.log.EventLine.Event
import java.util.concurrent.ConcurrentHashMap

/**
 * Writes the lines of the log: decisions on requests, and changes of what the process believes.
 *
 * Each kind of line has its own limit a second, so that a flood of one kind does not hide another. While the [buffer]
 * is more than half full only failures and beliefs are written; a line that does not fit is dropped and never waited
 * for. [counters] count every line, written or not. Calls may come from any thread.
 */
public class EventLog(
    private val nowMs: () -> Long,
    private val buffer: LogBuffer = LogBuffer.ofConfiguration(),
    private val counters: EventCounters = EventCounters.None,
    private val logger: Logger = LogManager.getLogger(EventLog::class.java),
) : EventSink {
    private val budgets = ConcurrentHashMap<BudgetKey, LogRateLimiter>()

    /** Writes [line] unless its kind has used up its limit or the buffer has no room for it. */
    override fun write(line: EventLine) {
        counters.count(line.event)
        val group = LineGroup.of(line)
        if (buffer.remaining <= buffer.capacity * group.reserveShare) return counters.countLineDrop(LineDrop.BUFFER)
        val key = BudgetKey(line.event, group, line.kind ?: line.failure)
        val budget = budgets.computeIfAbsent(key) { LogRateLimiter(group.maxLines, WINDOW_MS) }
        val leftOut =
            synchronized(budget) { budget.tryAcquire(nowMs()) } ?: return counters.countLineDrop(LineDrop.LIMIT)
        logger.log(levelOf(line.event), EventMessage(if (leftOut > 0) line.copy(leftOut = leftOut) else line))
    }

    private fun levelOf(event: Event): Level = when (event) {
        Event.GUARANTEE_VIOLATED -> Level.ERROR
        Event.DOCUMENT_REFUSED, Event.SETTINGS_REFUSED -> Level.WARN
        else -> Level.INFO
    }

    /** Errors and failures are told apart, so that the frequent ones do not hide the rare ones. */
    private data class BudgetKey(val event: Event, val group: LineGroup, val reason: String?)

    private companion object {
        const val WINDOW_MS = 1_000L
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
    /** Its kind had used up its limit. */
    LIMIT,

    /** The buffer had no room for it. */
    BUFFER,
    ;

    /** Name in metrics, such as `limit`. */
    public val id: String = name.lowercase()
}

/**
 * Lines that are limited alike.
 *
 * @property maxLines Lines of one kind in a second; a line costs about as much processor time as forwarding a short
 * request.
 * @property reserveShare Share of the buffer that is left to others.
 */
internal enum class LineGroup(val maxLines: Int, val reserveShare: Double) {
    /** Steps of requests that went as they should. */
    PROGRESS(5, 0.5),

    /** What went wrong with a request. */
    FAILURE(10, 0.1),

    /** What the process believes; a site has tens of hosts and backend servers that may all change at once. */
    BELIEF(100, 0.0),
    ;

    companion object {
        /** Returns the group of [line]; a request to a cold backend server is rare and may crash it. */
        fun of(line: EventLine): LineGroup = when (line.event) {
            Event.REQUEST_PLACED -> if ((line.coldMs ?: 0) > 0) FAILURE else PROGRESS
            Event.REQUEST_QUEUED, Event.REQUEST_ANSWERED -> PROGRESS
            Event.REQUEST_RESENT, Event.ATTEMPT_FAILED, Event.REQUEST_FAILED, Event.CALLER_LEFT -> FAILURE
            else -> BELIEF
        }
    }
}
