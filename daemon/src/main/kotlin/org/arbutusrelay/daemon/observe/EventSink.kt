package org.arbutusrelay.daemon.observe

import org.arbutusrelay.schema.log.EventLine

/** Receives structured log lines; implementations must not block. */
public fun interface EventSink {
    /** Writes [line], or drops it under load. */
    public fun write(line: EventLine)
}
