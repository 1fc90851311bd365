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

/** What this host knows of other hosts, of the backend servers of its region and of other regions. */
public interface MembershipService {
    /** Returns the entry hosts for a caller, best first, without asking another host. */
    public fun entryHosts(callerName: String): EntryHostList

    /** Returns all known hosts. */
    public fun hosts(): HostList

    /** Takes an announcement of a backend server. */
    public fun announce(announcement: Announcement): Either<RelayError, AnnouncementReply>

    /** Returns the backend servers of this region that may take new work now. */
    public fun availableBackendServers(): List<BackendServerState>

    /** Returns all known backend servers of this region, those that take no work included. */
    public fun backendServers(): List<BackendServerState>

    /** Returns the newest summary of each other region, by name. */
    public fun regionSummaries(): Map<String, TimedSummary>

    /** Reports a request digest whose run ended in the crash of a backend server. */
    public fun reportSuspect(suspect: SuspectState)

    /** Adds a listener that is called after each change of what this service returns. */
    public fun addListener(listener: MembershipListener)

    /** Removes this host from entry-host lists. */
    public fun startLeaving()
}

/** A region summary and when it arrived. */
public data class TimedSummary(
    val summary: RegionSummary,
    /** Arrival on the local monotonic clock, in milliseconds. */
    val receivedAtMs: Long,
)

/** Is told of changes of membership. */
public interface MembershipListener {
    /** Hosts, backend servers or region summaries changed. */
    public fun onChange(): Unit = Unit

    /** A suspect was reported by another host. */
    public fun onSuspect(suspect: SuspectState): Unit = Unit

    /** A host was replaced by a new process epoch or removed; [oldEpoch] no longer runs or cannot be reached. */
    public fun onHostReplaced(hostName: String, oldEpoch: Long): Unit = Unit
}
