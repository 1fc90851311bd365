package org.arbutusrelay.core.tenancy

/** An organisation whose callers identify themselves with keys. */
public class Tenant(
    public val name: String,
    /** Keys of its callers; secrets, which must not appear in logs, metrics or errors. */
    internal val keys: Set<String>,
    /** Takes precedence over the priority of a route; 0 is the most urgent. Null leaves that of the route. */
    public val priority: Int? = null,
    /** Regions that may execute and store its requests; empty if every region may. */
    public val homeRegions: List<String> = emptyList(),
    /** Null if its use is not limited. */
    public val quota: TokenQuota? = null,
) {
    override fun toString(): String = "Tenant($name)"
}
