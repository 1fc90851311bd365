package org.arbutusrelay.daemon.observe

import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.core.LoggerContext
import org.apache.logging.log4j.core.appender.AsyncAppender

/** The bounded buffer between those that write log lines and the output. */
public interface LogBuffer {
    /** Lines that still fit. */
    public val remaining: Int

    /** Lines that fit in all. */
    public val capacity: Int

    /** An output without a buffer. */
    public object None : LogBuffer {
        override val remaining: Int = 1
        override val capacity: Int = 1
    }

    public companion object {
        /** Returns the buffer of the logging configuration in force, or [None] when it has none. */
        public fun ofConfiguration(context: Any = LogManager.getContext(false)): LogBuffer {
            if (context !is LoggerContext) return None
            val appender = context.configuration.appenders.values.filterIsInstance<AsyncAppender>().firstOrNull()
            return appender?.let(::AsyncBuffer) ?: None
        }
    }
}

private class AsyncBuffer(private val appender: AsyncAppender) : LogBuffer {
    override val remaining: Int get() = appender.queueRemainingCapacity
    override val capacity: Int get() = appender.queueCapacity
}
