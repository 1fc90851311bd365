package org.arbutusrelay.core.site

import org.arbutusrelay.schema.message.HostState

/** The entry hosts that a look-up names, strong ones several times, and how near they are to the caller. */
public data class DirectoryAnswer(val scope: DirectoryScope, val hosts: List<HostState>) {
    /** Addresses that callers connect to. */
    val addresses: List<String> get() = hosts.map { it.callerAddress }
}

/** Where the entry hosts of an answer are, relative to the caller. */
public enum class DirectoryScope {
    /** In the caller's availability zone. */
    ZONE,

    /** In the caller's region. */
    REGION,

    /** In home regions of the requested name; the caller's region has no host that accepts callers. */
    HOME,

    /** In any region; the caller's region has no host that accepts callers. */
    OTHER_REGION,

    /** In the caller's region, but about to stop. */
    LEAVING,

    /** No host is named. */
    NONE,
    ;

    /** Name in metrics and log lines, such as `other_region`. */
    public val id: String = name.lowercase()

    /** True if the hosts are in the caller's region and accept callers. */
    public val isNear: Boolean get() = this == ZONE || this == REGION
}
