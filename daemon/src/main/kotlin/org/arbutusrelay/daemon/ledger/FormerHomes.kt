package org.arbutusrelay.daemon.ledger

import org.arbutusrelay.schema.message.LedgerQuery
import org.arbutusrelay.schema.message.LedgerReply.Decision

/** Queries the ledger of a former home region for a key that has no entry in the new one. */
public fun interface FormerHomes {
    /** Returns the decision of the leader of [region] on [query], or null when it does not reply in time. */
    public suspend fun status(region: String, query: LedgerQuery): Decision?
}
