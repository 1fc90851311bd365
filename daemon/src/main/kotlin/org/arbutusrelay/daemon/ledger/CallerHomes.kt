package org.arbutusrelay.daemon.ledger

import org.arbutusrelay.core.ledger.CallerHome

/** What the manifest in force says about the homes of callers. */
public interface CallerHomes {
    /** Returns the home of [caller], or null when the manifest has no such caller. */
    public fun homeOf(caller: String): CallerHome?

    /** Returns the callers that moved within the retention period, by name. */
    public fun moved(): Map<String, CallerHome>

    /** Returns true when [region] may hold requests of [service]. */
    public fun isAllowed(service: String, region: String): Boolean
}
