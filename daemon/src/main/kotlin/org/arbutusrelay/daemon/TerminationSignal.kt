package org.arbutusrelay.daemon

import java.util.concurrent.CountDownLatch

/** Waits for SIGTERM or SIGINT and keeps the process alive until it is halted. */
public class TerminationSignal {
    private val received = CountDownLatch(1)

    /** True once the process was told to end. */
    public val isReceived: Boolean get() = received.count == 0L

    /** Blocks until the process is told to end; the caller then ends it with [Runtime.halt]. */
    public fun await() {
        val waiting = Thread.currentThread()
        Runtime.getRuntime().addShutdownHook(
            Thread {
                received.countDown()
                waiting.join()
            },
        )
        received.await()
    }
}
