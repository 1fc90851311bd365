package org.arbutusrelay.daemon

import java.time.Instant
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Provides monotonic time for deadlines and the time of day for waits that depend on the hour. */
public class RelayClock(
    timeSource: TimeSource = TimeSource.Monotonic,
    private val instantSource: () -> Instant = Instant::now,
) {
    private val start: TimeMark = timeSource.markNow()

    /** Returns the monotonic time since this clock was created, in milliseconds. */
    public fun nowMs(): Long = start.elapsedNow().inWholeMilliseconds

    /** Returns the current time of day. */
    public fun instant(): Instant = instantSource()
}
