package org.arbutusrelay.core.site

import org.arbutusrelay.core.suspect.limitedTo
import org.arbutusrelay.core.suspect.plus
import org.arbutusrelay.schema.message.BackendDeparture
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.CrashEvidence
import org.arbutusrelay.schema.message.SiteDigest
import org.arbutusrelay.schema.message.SiteHost

/**
 * Collects changes of a site until they are sent together as one digest.
 *
 * When a fleet starts, each host learns of all the others within a fraction of a second; one digest for each change
 * would take a number of messages that grows with the square of the number of hosts. Not thread-safe.
 */
public class PendingChanges {
    private val hosts = LinkedHashMap<String, SiteHost>()
    private val servers = LinkedHashMap<String, BackendServerState>()
    private val departures = LinkedHashMap<String, BackendDeparture>()
    private var crashEvidence: CrashEvidence? = null

    /** Adds [host]; it replaces an earlier change of the same host. */
    public fun add(host: SiteHost) {
        hosts[host.host.hostName] = host
    }

    /** Adds [server]; it replaces an earlier change of the same backend server. */
    public fun add(server: BackendServerState) {
        servers[server.name] = server
    }

    /** Adds [departure]; it replaces an earlier one of the same backend server. */
    public fun add(departure: BackendDeparture) {
        departures[departure.name] = departure
    }

    /** Adds [evidence] to what was collected. */
    public fun add(evidence: CrashEvidence) {
        crashEvidence = (crashEvidence?.plus(evidence) ?: evidence).limitedTo(MAX_EVIDENCE_PAIRS)
    }

    /** Removes and returns the collected changes, or null if there are none. */
    public fun take(stateIndex: Long): SiteDigest? {
        val evidence = crashEvidence
        val isUnchanged = hosts.isEmpty() && servers.isEmpty() && departures.isEmpty()
        if (isUnchanged && evidence == null) return null
        val digest = SiteDigest(
            stateIndex = stateIndex,
            isFull = false,
            hosts = hosts.values.toList(),
            backendServers = servers.values.toList(),
            departures = departures.values.toList(),
            crashEvidence = evidence,
        )
        crashEvidence = null
        hosts.clear()
        servers.clear()
        departures.clear()
        return digest
    }

    private companion object {
        /** Keeps a digest below the size of a frame; regular digests between state hosts make up for the rest. */
        const val MAX_EVIDENCE_PAIRS = 2_048
    }
}
