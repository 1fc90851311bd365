package org.arbutusrelay.daemon.observe

import org.apache.logging.log4j.message.AsynchronouslyFormattable
import org.apache.logging.log4j.message.MultiformatMessage
import org.arbutusrelay.schema.log.EventLine

/**
 * A Log4j message that the JSON layout writes as a JSON object instead of a string.
 *
 * The line is immutable, so an asynchronous appender may encode it on its own thread.
 */
@AsynchronouslyFormattable
internal class EventMessage(private val line: EventLine) : MultiformatMessage {
    override fun getFormattedMessage(): String = EVENT_JSON.encodeToString(EventLine.serializer(), line)

    override fun getFormattedMessage(formats: Array<out String>): String = formattedMessage

    override fun getFormats(): Array<String> = arrayOf("JSON")

    override fun getParameters(): Array<Any> = emptyArray()

    override fun getThrowable(): Throwable? = null

    private companion object {
        private const val serialVersionUID = 1L
    }
}
