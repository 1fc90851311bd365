package org.arbutusrelay.daemon.ledger

import org.arbutusrelay.schema.message.LedgerQuery
import org.arbutusrelay.schema.message.LedgerReply.Decision

/** Asks the ledger of a former home region for a key that is unknown in the new one. */
public fun interface FormerHomes {
    /** Returns what the leader of [region] decided on [query], or null when it did not answer in time. */
    public suspend fun status(region: String, query: LedgerQuery): Decision?
}
