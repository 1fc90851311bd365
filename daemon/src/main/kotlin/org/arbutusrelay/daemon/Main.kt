package org.arbutusrelay.daemon

/** Runs `arbutusd` with the arguments of the command line. */
public fun main(arguments: Array<String>) {
    // A signal during the start must also end in a graceful stop: callers may be served before the start is complete.
    val signal = TerminationSignal()
    val exitCode = Arbutusd.run(Arbutusd(awaitStop = { signal.await() }), *arguments)
    // An orderly exit would wait for the signal's hook, which waits for this thread.
    Runtime.getRuntime().halt(exitCode)
}
