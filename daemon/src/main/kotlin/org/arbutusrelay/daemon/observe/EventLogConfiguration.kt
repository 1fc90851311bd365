package org.arbutusrelay.daemon.observe

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.LifeCycle
import org.apache.logging.log4j.core.appender.AsyncAppender
import org.apache.logging.log4j.core.appender.ConsoleAppender
import org.apache.logging.log4j.core.config.AbstractConfiguration
import org.apache.logging.log4j.core.config.AppenderRef
import org.apache.logging.log4j.core.config.ConfigurationSource
import org.apache.logging.log4j.core.config.Configurator
import org.apache.logging.log4j.core.config.LoggerConfig

/**
 * Configures Log4j in code: JSON lines on standard output, through a bounded buffer that never blocks the writer.
 *
 * A configuration file makes Log4j scan for plugins and build each part by reflection, which took a twentieth of the
 * processor time of a start. Lines that do not fit in the buffer are dropped, because a stalled reader of the log must
 * not block requests. Log4j's shutdown hook is disabled, so that a graceful stop is still logged.
 */
public class EventLogConfiguration : AbstractConfiguration(null, ConfigurationSource.NULL_SOURCE) {
    init {
        isShutdownHookEnabled = false
    }

    override fun initialize() {
        setState(LifeCycle.State.INITIALIZING)
        val console = ConsoleAppender.newBuilder().setName(CONSOLE).setConfiguration(this)
            .setTarget(ConsoleAppender.Target.SYSTEM_OUT).setLayout(EventLogLayout()).build()
        val buffered = AsyncAppender.newBuilder().setName("async").setConfiguration(this)
            .setBufferSize(BUFFERED_LINES).setBlocking(false)
            .setAppenderRefs(arrayOf(AppenderRef.createAppenderRef(CONSOLE, null, null))).build()
        addAppender(console)
        addAppender(buffered)
        rootLogger.level = Level.WARN
        rootLogger.addAppender(buffered, null, null)
        addLogger(PROJECT_LOGGER, LoggerConfig(PROJECT_LOGGER, Level.INFO, true))
        setState(LifeCycle.State.INITIALIZED)
    }

    public companion object {
        private const val CONSOLE = "console"
        private const val PROJECT_LOGGER = "org.arbutusrelay"
        private const val BUFFERED_LINES = 1_024

        /** Configures the logging of this process; must be called before the first logger is created. */
        public fun install() {
            Configurator.initialize(EventLogConfiguration())
        }
    }
}
