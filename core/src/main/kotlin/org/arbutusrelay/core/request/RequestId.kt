package org.arbutusrelay.core.request

import org.arbutusrelay.schema.message.Attempt

/** Identifies a request by the entry host that accepted it, that host's process epoch and a number. */
public data class RequestId(val hostName: String, val epoch: Long, val requestNumber: Long) {
    /** Returns the attempt that the ledger stores as the owner of a grant. */
    public fun toAttempt(): Attempt = Attempt(hostName, epoch, requestNumber)

    /** Text form for headers and logs, such as `hue-1-5f3a-12`; the numbers are hexadecimal. */
    override fun toString(): String = "$hostName-${epoch.toString(HEX)}-${requestNumber.toString(HEX)}"

    private companion object {
        private const val HEX = 16
    }
}
