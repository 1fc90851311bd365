package org.arbutusrelay.daemon.observe

import org.arbutusrelay.schema.log.EventLine

/** Takes the lines of the log; must not block. */
public fun interface EventSink {
    /** Takes [line], which may be left out under load. */
    public fun write(line: EventLine)
}
