package org.arbutusrelay.daemon

import java.util.concurrent.CountDownLatch

/**
 * Notices SIGTERM and SIGINT from its construction on, and keeps the process alive until it is halted.
 *
 * The thread that constructs it must end the process with [Runtime.halt].
 */
public class TerminationSignal {
    private val received = CountDownLatch(1)

    init {
        val waiting = Thread.currentThread()
        Runtime.getRuntime().addShutdownHook(
            Thread {
                received.countDown()
                waiting.join()
            },
        )
    }

    /** Blocks until the process is told to end. */
    public fun await(): Unit = received.await()
}
