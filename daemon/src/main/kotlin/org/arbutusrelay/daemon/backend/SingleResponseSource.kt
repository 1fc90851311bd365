package org.arbutusrelay.daemon.backend

import okio.Buffer
import okio.ForwardingSource
import okio.Source
import org.arbutusrelay.core.relay.EmbeddedHeadRule
import org.arbutusrelay.core.relay.SecondResponseScanner

/**
 * The body of an event stream up to the head of another response, where it ends.
 *
 * A faulty server may write a response twice, and a body whose end is marked by the close of its connection contains
 * both. An event can't contain a head, since each of its lines begins with the name of a field of the event.
 */
internal class SingleResponseSource(delegate: Source) : ForwardingSource(delegate) {
    private val scanner = SecondResponseScanner(EventStreamHeads)
    private val received = Buffer()
    private val body = Buffer()
    private var isEnded = false

    override fun read(sink: Buffer, byteCount: Long): Long {
        while (body.exhausted() && !isEnded) {
            val count = super.read(received, byteCount)
            body.write(if (count < 0) scanner.takeHeld() else scanner.push(received.readByteArray()))
            isEnded = count < 0 || scanner.secondHead != null
        }
        return body.read(sink, byteCount)
    }

    private object EventStreamHeads : EmbeddedHeadRule {
        override val isEventStream: Boolean = true

        override fun namesRequest(name: String): Boolean = false
    }
}
