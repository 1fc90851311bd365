package org.arbutusrelay.daemon.membership

import arrow.core.Either
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.schema.api.Announcement
import org.arbutusrelay.schema.api.AnnouncementReply
import org.arbutusrelay.schema.api.EntryHostList
import org.arbutusrelay.schema.api.HostList
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.RegionSummary
import org.arbutusrelay.schema.message.SuspectState

/** Membership view of this host: hosts, backend servers of its region and summaries of other regions. */
public interface MembershipService {
    /** Returns the entry hosts for a caller, best first, from local state only. */
    public fun entryHosts(callerName: String): EntryHostList

    /** Returns all known hosts. */
    public fun hosts(): HostList

    /** Processes an announcement of a backend server. */
    public fun announce(announcement: Announcement): Either<RelayError, AnnouncementReply>

    /** Returns the backend servers of this region that accept new requests. */
    public fun availableBackendServers(): List<BackendServerState>

    /** Returns all known backend servers of this region, including those that accept no requests. */
    public fun backendServers(): List<BackendServerState>

    /** Returns the newest summary of each other region, by name. */
    public fun regionSummaries(): Map<String, TimedSummary>

    /** Reports a suspect: the digest of a request that was running when a backend server crashed. */
    public fun reportSuspect(suspect: SuspectState)

    /** Adds a listener that is called after each change of the membership view. */
    public fun addListener(listener: MembershipListener)

    /** Marks this host as leaving, which removes it from entry host lists. */
    public fun startLeaving()
}

/** A region summary and the time at which it was received. */
public data class TimedSummary(
    val summary: RegionSummary,
    /** Time of receipt on the local monotonic clock, in milliseconds. */
    val receivedAtMs: Long,
)

/** Receives membership changes. */
public interface MembershipListener {
    /** Called when hosts, backend servers or region summaries have changed. */
    public fun onChange(): Unit = Unit

    /** Called when another host has reported a suspect. */
    public fun onSuspect(suspect: SuspectState): Unit = Unit

    /** Called when a host has restarted or was removed; its [oldEpoch] has ended or is unreachable. */
    public fun onHostReplaced(hostName: String, oldEpoch: Long): Unit = Unit
}
