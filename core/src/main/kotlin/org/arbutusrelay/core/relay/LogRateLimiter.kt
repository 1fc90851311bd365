package org.arbutusrelay.core.relay

/**
 * Bounds how many log lines of one kind are written, so that an overload does not slow the host down further.
 *
 * Each [windowMs] allows [maxLines] lines. The first line of a later window tells how many were left out. Calls come
 * from one thread at a time.
 */
public class LogRateLimiter(private val maxLines: Int, private val windowMs: Long) {
    private var windowStartMs = Long.MIN_VALUE / 2
    private var written = 0
    private var leftOut = 0L

    /** Returns how many lines were left out before the one that may be written at [nowMs]; null when none may. */
    public fun tryAcquire(nowMs: Long): Long? {
        if (nowMs - windowStartMs >= windowMs) {
            windowStartMs = nowMs
            written = 0
        }
        if (written >= maxLines) {
            leftOut++
            return null
        }
        written++
        return leftOut.also { leftOut = 0 }
    }
}
