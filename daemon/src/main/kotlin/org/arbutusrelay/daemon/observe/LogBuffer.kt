package org.arbutusrelay.daemon.observe

import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.core.LoggerContext
import org.apache.logging.log4j.core.appender.AsyncAppender

/** The bounded buffer between the threads that log and the output. */
public interface LogBuffer {
    /** Free capacity, in lines. */
    public val remaining: Int

    /** Total capacity, in lines. */
    public val capacity: Int

    /** Stands for an output without a buffer; it always has room. */
    public object None : LogBuffer {
        override val remaining: Int = 1
        override val capacity: Int = 1
    }

    public companion object {
        /** Returns the buffer of the active logging configuration, or [None] when it has none. */
        public fun ofConfiguration(context: Any = LogManager.getContext(false)): LogBuffer {
            if (context !is LoggerContext) return None
            val appender = context.configuration.appenders.values.filterIsInstance<AsyncAppender>().firstOrNull()
            return appender?.let(::AsyncAppenderBuffer) ?: None
        }
    }
}

private class AsyncAppenderBuffer(private val appender: AsyncAppender) : LogBuffer {
    override val remaining: Int get() = appender.queueRemainingCapacity
    override val capacity: Int get() = appender.queueCapacity
}
