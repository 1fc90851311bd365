package org.arbutusrelay.core.ledger

import org.arbutusrelay.schema.message.LedgerReply
import org.arbutusrelay.schema.message.LedgerReply.Decision
import org.arbutusrelay.schema.message.StoredResponse

/** Result of a ledger command or query. */
public data class LedgerDecision(
    /** Decision that is sent to the entry host; [Decision.NO_LEADER] also when the ledger is full. */
    public val decision: Decision,
    /** Stored response of a finished entry with the same body digest. */
    public val response: StoredResponse? = null,
) {
    /** Returns the reply to the request with the id [correlation]. */
    public fun toReply(correlation: Long): LedgerReply = LedgerReply(correlation, decision, response)
}
