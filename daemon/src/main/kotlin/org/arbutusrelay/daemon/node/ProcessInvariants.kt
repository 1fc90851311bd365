package org.arbutusrelay.daemon.node

import org.apache.logging.log4j.LogManager
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.daemon.observe.RelayMetrics

/** Exit code of a process that is terminated because of a violated invariant. */
public const val EXIT_INVARIANT: Int = 3

/**
 * Returns the invariants of a process; each violation is counted in a metric and logged.
 *
 * With [isFatal], a violation calls [halt], which terminates the process immediately: a graceful shutdown could still
 * act on the invalid state. If [halt] returns, as in tests, the violation is thrown.
 */
internal fun processInvariants(isFatal: Boolean, metrics: RelayMetrics, halt: (Int) -> Unit): Invariants {
    val logger = LogManager.getLogger(Invariants::class.java)
    return Invariants(isFatal) { guarantee, detail ->
        metrics.countViolation(guarantee)
        logger.error("guarantee {} violated: {}", guarantee.id, detail)
        if (isFatal) halt(EXIT_INVARIANT)
    }
}
