package org.arbutusrelay.daemon

import java.util.concurrent.CountDownLatch

/**
 * Catches SIGTERM and SIGINT from its construction on, and keeps the process alive until it is halted.
 *
 * The thread that constructs it must end the process with [Runtime.halt].
 */
public class TerminationSignal {
    private val received = CountDownLatch(1)

    init {
        val mainThread = Thread.currentThread()
        Runtime.getRuntime().addShutdownHook(
            Thread {
                received.countDown()
                mainThread.join()
            },
        )
    }

    /** Blocks until a termination signal is received. */
    public fun await(): Unit = received.await()
}
