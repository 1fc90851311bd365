package org.arbutusrelay.daemon.ledger

import org.arbutusrelay.core.ledger.CallerHome

/** Home regions of callers according to the current manifest. */
public interface CallerHomes {
    /** Returns the home of [caller], or null when the manifest does not contain the caller. */
    public fun homeOf(caller: String): CallerHome?

    /** Returns the callers whose home moved within the retention period, by name. */
    public fun moved(): Map<String, CallerHome>

    /** Returns true when [region] may store requests of [service]. */
    public fun isAllowed(service: String, region: String): Boolean
}
