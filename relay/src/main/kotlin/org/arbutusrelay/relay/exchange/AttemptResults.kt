package org.arbutusrelay.relay.exchange

import org.arbutusrelay.core.relay.AttemptFailure
import org.arbutusrelay.core.routing.AttemptResult

/** Returns what a failed attempt tells the scheduler; [isMisdirected] if another backend server has the address now. */
internal fun AttemptFailure.toResult(isMisdirected: Boolean): AttemptResult = when (this) {
    AttemptFailure.NOT_SENT -> AttemptResult.UNREACHABLE
    AttemptFailure.NOT_EXECUTED -> if (isMisdirected) AttemptResult.UNREACHABLE else AttemptResult.REFUSED
    AttemptFailure.UNKNOWN -> AttemptResult.CONNECTION_LOST
    AttemptFailure.RAN_AND_FAILED -> AttemptResult.SERVER_ERROR
    AttemptFailure.SILENT -> AttemptResult.TIMED_OUT
}
