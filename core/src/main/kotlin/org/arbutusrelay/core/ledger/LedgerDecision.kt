package org.arbutusrelay.core.ledger

import org.arbutusrelay.schema.message.LedgerReply
import org.arbutusrelay.schema.message.LedgerReply.Decision
import org.arbutusrelay.schema.message.StoredResponse

/** The result of a ledger command or of a read. */
public data class LedgerDecision(
    /** Decision as it is sent to the entry host; [Decision.NO_LEADER] when the ledger is full. */
    public val decision: Decision,
    /** Stored response of a finished entry with the same request digest. */
    public val response: StoredResponse? = null,
) {
    /** Returns the reply to the request with the given [correlation]. */
    public fun toReply(correlation: Long): LedgerReply = LedgerReply(correlation, decision, response)
}
