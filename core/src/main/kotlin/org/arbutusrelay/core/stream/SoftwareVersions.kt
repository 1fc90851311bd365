package org.arbutusrelay.core.stream

import org.arbutusrelay.schema.message.BackendServerState

/**
 * Software versions that the backend servers of each service have had recently.
 *
 * Where nobody knows where a stream began, its version is still known if the service has had only one for as long as a
 * stream lasts; see [OriginSurvey] for whose knowledge that takes. A host that has not run for so long does not know
 * which servers there were before; it relies on the present ones only if all of them were already running then. Times
 * are in milliseconds, [startMs] and those called `nowMs` on the monotonic clock. Not thread-safe.
 */
public class SoftwareVersions(private val startMs: Long) {
    private class Service {
        val lastSeenMs = HashMap<String, Long>()
        var newestStartWallMs = Long.MIN_VALUE
    }

    private val services = HashMap<String, Service>()

    /** Records that the site has [servers] at [nowMs]. */
    public fun update(servers: List<BackendServerState>, nowMs: Long) {
        services.values.forEach { it.newestStartWallMs = Long.MIN_VALUE }
        for (server in servers) {
            val service = services.getOrPut(server.service) { Service() }
            service.lastSeenMs[server.softwareVersion] = nowMs
            service.newestStartWallMs = maxOf(service.newestStartWallMs, server.incarnation)
        }
        services.values.forEach { it.lastSeenMs.values.removeIf { seenMs -> nowMs - seenMs > LIFETIME_MS } }
    }

    /** Returns true if [service] has, or recently had, servers of several versions. */
    public fun isMixed(service: String): Boolean = (services[service]?.lastSeenMs?.size ?: 0) > 1

    /** Returns true if [service] has, and recently had, only servers that state no version. */
    public fun isUnversioned(service: String): Boolean = services[service]?.lastSeenMs?.keys == setOf("")

    /**
     * Returns the only version at which a stream of [service] that is still open can have begun, or null.
     *
     * [nowWallMs] is the time of day, which the start times of servers are compared with.
     */
    public fun only(service: String, nowMs: Long, nowWallMs: Long): String? {
        val known = services[service] ?: return null
        val version = known.lastSeenMs.keys.singleOrNull() ?: return null
        val isHistoryLong = nowMs - startMs >= LIFETIME_MS
        val areServersOld = known.newestStartWallMs <= nowWallMs - LIFETIME_MS - MAX_CLOCK_DIFFERENCE_MS
        val isViewComplete = nowMs - startMs >= SETTLE_MS
        return version.takeIf { isHistoryLong || (areServersOld && isViewComplete) }
    }

    public companion object {
        /** Longest time from the first event of a stream until its caller gives it up, with a margin of a half. */
        public const val LIFETIME_MS: Long = 15_000

        /** Two announcement intervals, in which each server that runs announces itself again. */
        public const val SETTLE_MS: Long = 2_500

        /** Clocks of hosts and servers differ, and the time of day may jump by seconds. */
        private const val MAX_CLOCK_DIFFERENCE_MS = 5_000L
    }
}
