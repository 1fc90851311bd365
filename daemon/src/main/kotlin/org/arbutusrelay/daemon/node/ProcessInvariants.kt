package org.arbutusrelay.daemon.node

import org.apache.logging.log4j.LogManager
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.daemon.observe.RelayMetrics

/** Exit code when a violated invariant ends the process. */
public const val EXIT_INVARIANT: Int = 3

/**
 * Returns the invariants of a whole process; each violation is a metric and a log line.
 *
 * With [isFatal] a violation calls [halt], which ends the process at once: a graceful shutdown could still act on the
 * state that violates the invariant. When [halt] returns, as in tests, the violation is thrown.
 */
internal fun processInvariants(isFatal: Boolean, metrics: RelayMetrics, halt: (Int) -> Unit): Invariants {
    val logger = LogManager.getLogger(Invariants::class.java)
    return Invariants(isFatal) { guarantee, detail ->
        metrics.countViolation(guarantee)
        logger.error("guarantee {} violated: {}", guarantee.id, detail)
        if (isFatal) halt(EXIT_INVARIANT)
    }
}
