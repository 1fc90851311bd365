package org.arbutusrelay.ctl

/** Exit codes of `arbutusctl`. */
internal object ExitCode {
    /** The command completed. */
    const val SUCCESS: Int = 0

    /** The system refused the request or could not be reached, or a check failed. */
    const val FAILED: Int = 1

    /** The command line or an input file is invalid; nothing was started or sent. */
    const val USAGE: Int = 2
}
