package org.arbutusrelay.daemon

import org.apache.logging.log4j.LogManager
import java.util.concurrent.atomic.AtomicBoolean

/** Exit code of a process that ends because one of its parts has ended by an error. */
public const val EXIT_PART_ENDED: Int = 4

/**
 * Ends the process when a part that it cannot work without has ended by an error, such as an event loop or a replica.
 *
 * A process that runs on without such a part is worse than one that is down: it is not started again, and others go on
 * counting on it. [halt] terminates the process immediately with an exit code.
 */
public class ProcessFailure(private val halt: (Int) -> Unit = { Runtime.getRuntime().halt(it) }) {
    private val isEnding = AtomicBoolean()

    /** Logs that [part] has ended, and ends the process with [EXIT_PART_ENDED]; later calls have no effect. */
    public fun onPartEnded(part: String, detail: String) {
        if (!isEnding.compareAndSet(false, true)) return
        try {
            logger.fatal("{} has ended, so the process ends: {}", part, detail)
            LogManager.shutdown()
        } finally {
            // Even without memory for the log line.
            halt(EXIT_PART_ENDED)
        }
    }

    /**
     * Ends the process when any thread or coroutine has thrown an error of the virtual machine, after which no part can
     * be relied on. A stack overflow ends only its own task, because a single request may cause it.
     */
    public fun handleUncaughtErrors() {
        Thread.setDefaultUncaughtExceptionHandler { thread, error -> onUncaught(thread.name, error) }
    }

    internal fun onUncaught(threadName: String, error: Throwable) {
        if (error is VirtualMachineError && error !is StackOverflowError) return onPartEnded(threadName, "$error")
        logger.error("uncaught in {}", threadName, error)
    }

    private companion object {
        private val logger = LogManager.getLogger(ProcessFailure::class.java)
    }
}
