package org.arbutusrelay.ctl

/** Exit codes of `arbutusctl`. */
internal object ExitCode {
    /** The command did what it was asked to. */
    const val DONE: Int = 0

    /** The system refused, or could not be reached. */
    const val FAILED: Int = 1

    /** The command line or a file has errors; nothing was started or sent. */
    const val USAGE: Int = 2
}
