package org.arbutusrelay.daemon

import kotlin.system.exitProcess

/** Runs `arbutusd` with the arguments of the command line. */
public fun main(arguments: Array<String>) {
    val signal = TerminationSignal()
    val exitCode =
        Arbutusd.run(Arbutusd(LocalToml::settings, ::localDaemon, awaitStop = signal::await), *arguments)
    // A second exit would wait for the one that the signal began, and that one's exit code is not 0.
    if (signal.isReceived) Runtime.getRuntime().halt(exitCode) else exitProcess(exitCode)
}
