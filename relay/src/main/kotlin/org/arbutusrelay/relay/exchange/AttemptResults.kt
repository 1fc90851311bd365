package org.arbutusrelay.relay.exchange

import org.arbutusrelay.core.relay.AttemptFailure
import org.arbutusrelay.core.routing.AttemptResult

/** Returns what the failure of [attempt] tells the scheduler. */
internal fun AttemptFailure.toResult(attempt: Attempt): AttemptResult = when (this) {
    AttemptFailure.NOT_SENT -> AttemptResult.UNREACHABLE

    AttemptFailure.NOT_EXECUTED -> when {
        // Another backend server has the address now.
        attempt.isMisdirected -> AttemptResult.UNREACHABLE

        // The homes of one route say nothing about the load or the health of the region.
        attempt.isRegionRefused -> AttemptResult.CANCELLED

        else -> AttemptResult.REFUSED
    }

    AttemptFailure.UNKNOWN -> AttemptResult.CONNECTION_LOST

    AttemptFailure.RAN_AND_FAILED -> AttemptResult.SERVER_ERROR

    AttemptFailure.SILENT -> AttemptResult.TIMED_OUT
}
