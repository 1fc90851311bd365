package org.arbutusrelay.core.relay

/**
 * Limits the rate of log lines of one kind, so that logging does not slow down a host under overload further.
 *
 * At most [maxLines] lines are allowed in each window of [windowMs]. The first line of a later window reports how many
 * were suppressed. Not thread-safe.
 */
public class LogRateLimiter(private val maxLines: Int, private val windowMs: Long) {
    private var windowStartMs = Long.MIN_VALUE / 2
    private var writtenLines = 0
    private var suppressedLines = 0L

    /** Returns null if no line may be written at [nowMs], otherwise the number of lines suppressed before it. */
    public fun tryAcquire(nowMs: Long): Long? {
        if (nowMs - windowStartMs >= windowMs) {
            windowStartMs = nowMs
            writtenLines = 0
        }
        if (writtenLines >= maxLines) {
            suppressedLines++
            return null
        }
        writtenLines++
        return suppressedLines.also { suppressedLines = 0 }
    }
}
