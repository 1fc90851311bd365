package org.arbutusrelay.daemon

/** Runs `arbutusd` with the arguments of the command line. */
public fun main(arguments: Array<String>) {
    // Registered before startup: callers may be served before it is complete, so a signal must already stop gracefully.
    val signal = TerminationSignal()
    ProcessFailure().handleUncaughtErrors()
    val exitCode = Arbutusd.run(Arbutusd(awaitStop = { signal.await() }), *arguments)
    // exitProcess would deadlock: it waits for the shutdown hook of TerminationSignal, which waits for this thread.
    Runtime.getRuntime().halt(exitCode)
}
