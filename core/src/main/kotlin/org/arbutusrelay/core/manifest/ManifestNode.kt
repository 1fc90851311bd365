package org.arbutusrelay.core.manifest

import org.arbutusrelay.core.invariant.Guarantee
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.core.membership.Outgoing
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.ManifestPull
import org.arbutusrelay.schema.message.ManifestPullReply
import org.arbutusrelay.schema.message.ManifestRecord
import org.arbutusrelay.schema.message.ManifestSynced

/** The hosts that a process exchanges manifests with. */
public data class ManifestPeers(
    val selfName: String,
    val isStateHost: Boolean,
    /** State hosts of the local region, including this host; the voters if the region has no state hosts. */
    val regionStateHosts: Set<String>,
    /** State hosts of other regions that a state host may pull from and that may pull from it. */
    val otherStateHosts: Set<String> = emptySet(),
)

/**
 * Distribution of manifests to and from one process (section 6 of the design).
 *
 * A state host receives records through [onCommitted] or by pulling, returns each once from [pollRecordToSync], and
 * counts it only after [onSynced]. [stored] is the record on its disk at start. Not safe for concurrent use.
 */
public class ManifestNode(
    private val peers: ManifestPeers,
    stored: ManifestRecord?,
    private val invariants: Invariants,
    private val parser: ManifestParser,
) {
    private val regionMajority = RegionMajority(peers.selfName, peers.regionStateHosts)
    private val history = ManifestHistory()
    private var pendingSync: ManifestRecord? = null
    private var received: ManifestRecord? = null
    private var newestKnownNumber = 0L
    private var isRecovering = peers.isStateHost && stored == null
    private var isReady = false
    private var isFullPullNeeded = false
    private var lastPullMs = Long.MIN_VALUE / 2
    private var lastSyncedNoticeMs = Long.MIN_VALUE / 2
    private var correlation = 0L

    /** The active manifest, or null. */
    public var view: ManifestView? = null
        private set

    /** Record of the active manifest, or null. */
    public var record: ManifestRecord? = null
        private set

    init {
        if (stored != null) onSynced(stored)
    }

    /** Called with a record that the group has committed. */
    public fun onCommitted(record: ManifestRecord) {
        newestKnownNumber = maxOf(newestKnownNumber, record.number)
        if (record.number > newestReceivedNumber()) pendingSync = record
    }

    /** Returns the next record to sync to disk, or null; each record is returned once. */
    public fun pollRecordToSync(): ManifestRecord? {
        val next = pendingSync?.takeIf { it.number > (received?.number ?: -1) }
        pendingSync = null
        return next
    }

    /** Called when [record] has been synced to the disk of this state host. */
    public fun onSynced(record: ManifestRecord) {
        history.add(record)
        if (record.number >= (received?.number ?: 0)) received = record
        regionMajority.recordSynced(peers.selfName, record.number)
        if (!isRecovering) regionMajority.recordAnswer(peers.selfName, record.number, isRecovering = false)
        lastSyncedNoticeMs = Long.MIN_VALUE / 2
        updateState()
    }

    /** Records a manifest number received in a heartbeat or digest. */
    public fun observeNumber(number: Long) {
        newestKnownNumber = maxOf(newestKnownNumber, number)
    }

    /** Makes the next [tick] send pull requests. */
    public fun pullNow() {
        lastPullMs = Long.MIN_VALUE / 2
    }

    /** Advances the time to [nowMs] and returns the frames that are due. */
    public fun tick(nowMs: Long): List<Outgoing> {
        updateState()
        return duePulls(nowMs) + dueSyncedNotices(nowMs)
    }

    /** Processes a frame from a linked host and returns the replies. */
    public fun receive(from: String, frame: LinkFrame): List<Outgoing> {
        frame.manifestSynced?.let { regionMajority.recordSynced(from, it.number) }
        frame.manifestPullReply?.let { handlePullReply(from, it) }
        updateState()
        val pull = frame.manifestPull ?: return emptyList()
        return listOfNotNull(answerPull(from, pull)?.let { Outgoing(from, LinkFrame(manifestPullReply = it)) })
    }

    private fun newestReceivedNumber() = maxOf(received?.number ?: 0, pendingSync?.number ?: 0)

    private fun duePulls(nowMs: Long): List<Outgoing> {
        val isBehind = !isReady || isRecovering || newestKnownNumber > (view?.number ?: 0)
        if (nowMs - lastPullMs < if (isBehind) CATCH_UP_PULL_INTERVAL_MS else IDLE_PULL_INTERVAL_MS) return emptyList()
        lastPullMs = nowMs
        correlation++
        val regionPeers = (peers.regionStateHosts - peers.selfName).toList()
        val others = if (peers.isStateHost) peers.otherStateHosts.toList() else emptyList()
        val targets =
            if (isReady && !isRecovering) nextOf(regionPeers) + nextOf(others) else regionPeers + nextOf(others)
        return targets.map { Outgoing(it, LinkFrame(manifestPull = pullRequest())) }
    }

    private fun nextOf(names: List<String>): List<String> =
        if (names.isEmpty()) emptyList() else listOf(names[(correlation % names.size).toInt()])

    private fun pullRequest(): ManifestPull {
        val base = received.takeUnless { isFullPullNeeded }
        return ManifestPull(correlation, base?.number ?: 0, base?.digest.orEmpty())
    }

    private fun dueSyncedNotices(nowMs: Long): List<Outgoing> {
        val number = received?.number ?: 0
        if (!peers.isStateHost || number == 0L || nowMs - lastSyncedNoticeMs < SYNCED_INTERVAL_MS) return emptyList()
        lastSyncedNoticeMs = nowMs
        val frame = LinkFrame(manifestSynced = ManifestSynced(number))
        return (peers.regionStateHosts - peers.selfName).map { Outgoing(it, frame) }
    }

    /** Offers state hosts the newest synced record, so that they can sync it too, and other hosts an offerable one. */
    private fun answerPull(from: String, pull: ManifestPull): ManifestPullReply? {
        if (!peers.isStateHost) return null
        val isToStateHost = from in peers.regionStateHosts || from in peers.otherStateHosts
        val offer = if (isToStateHost) received else history.newestUpTo(regionMajority.offerableNumber)
        val base = history.find(pull.haveNumber, pull.haveDigest)
        val isNewer = offer != null && offer.number > pull.haveNumber
        return ManifestPullReply(
            correlation = pull.correlation,
            isStateHost = true,
            number = offer?.number ?: 0,
            record = offer.takeIf { isNewer && base == null },
            delta = if (offer != null && base != null && isNewer) ManifestText.difference(base, offer) else null,
            syncedNumber = received?.number ?: 0,
            isRecovering = isRecovering,
        )
    }

    private fun handlePullReply(from: String, reply: ManifestPullReply) {
        if (!reply.isStateHost) return
        regionMajority.recordAnswer(from, reply.syncedNumber, reply.isRecovering)
        observeNumber(reply.syncedNumber)
        val delta = reply.delta
        val base = received
        val record = when {
            delta != null && base != null -> ManifestText.apply(base, delta)
            else -> reply.record?.takeIf { it.digest == ManifestText.digest(it.text) }
        }
        if (delta != null || reply.record != null) isFullPullNeeded = record == null
        if (record == null || record.number <= newestReceivedNumber()) return
        if (peers.isStateHost) pendingSync = record else received = record
    }

    private fun updateState() {
        val ownNumber = received?.number ?: 0
        val recoveryNumber = regionMajority.recoveryNumber()
        if (isRecovering && recoveryNumber != null && ownNumber >= recoveryNumber) finishRecovery()
        val candidate = if (peers.isStateHost) history.newestUpTo(regionMajority.offerableNumber) else received
        if (!isReady) {
            val startNumber = regionMajority.startNumber ?: return
            isReady = !isRecovering && (candidate?.number ?: 0) >= startNumber
        }
        if (isReady && candidate != null && candidate.number > (view?.number ?: 0)) activate(candidate)
    }

    /**
     * Ends recovery once a record is stored.
     *
     * In a new region this is a record with number 0. Without it, state hosts that restart before the first manifest
     * could not be distinguished from hosts that lost their disks, and two of three would wait for each other forever.
     */
    private fun finishRecovery() {
        val stored = received
        if (stored == null) {
            if (pendingSync == null) pendingSync = ManifestRecord(0, ManifestText.digest(""), "")
            return
        }
        isRecovering = false
        regionMajority.recordAnswer(peers.selfName, stored.number, isRecovering = false)
    }

    private fun activate(next: ManifestRecord) {
        val isMonotonic = invariants.check(Guarantee.MANIFEST_MONOTONIC, next.number >= (view?.number ?: 0)) {
            "${peers.selfName}: manifest ${next.number} after ${view?.number}"
        }
        if (!isMonotonic) return
        parser.parse(next.text).onRight { manifest ->
            view = ManifestView(manifest, next.digest)
            record = next
        }
    }

    private companion object {
        const val CATCH_UP_PULL_INTERVAL_MS = 200L
        const val IDLE_PULL_INTERVAL_MS = 2_000L
        const val SYNCED_INTERVAL_MS = 1_000L
    }
}

/** The last synced records, which serve as bases for deltas. */
private class ManifestHistory {
    private val records = ArrayDeque<ManifestRecord>()

    fun add(record: ManifestRecord) {
        if (records.any { it.number >= record.number }) return
        records += record
        if (records.size > MAX_RECORDS) records.removeFirst()
    }

    fun find(number: Long, digest: String): ManifestRecord? =
        records.find { it.number == number && it.digest == digest }

    fun newestUpTo(number: Long): ManifestRecord? = records.lastOrNull { it.number <= number }

    private companion object {
        const val MAX_RECORDS = 16
    }
}
