package org.arbutusrelay.core.manifest

import org.arbutusrelay.core.invariant.Guarantee
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.core.membership.Outgoing
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.ManifestPull
import org.arbutusrelay.schema.message.ManifestPullReply
import org.arbutusrelay.schema.message.ManifestRecord
import org.arbutusrelay.schema.message.ManifestSynced

/** Who a process exchanges manifests with. */
public data class ManifestPeers(
    val selfName: String,
    val isStateHost: Boolean,
    /** State hosts of the own region, this one included; in a region without any, the voters. */
    val regionStateHosts: Set<String>,
    /** State hosts elsewhere that a state host may pull from and that may pull here. */
    val otherStateHosts: Set<String> = emptySet(),
)

/**
 * Distribution of manifests to and from one process (section 6 of the design).
 *
 * A state host gets records by [onCommitted] or by pulling, hands each out once by [pollRecordToSync], and counts it
 * only after [onSynced]. [stored] is what its disk held at start. Not safe for concurrent use.
 */
public class ManifestNode(
    private val peers: ManifestPeers,
    stored: ManifestRecord?,
    private val invariants: Invariants,
    private val parser: ManifestParser,
) {
    private val region = RegionMajority(peers.selfName, peers.regionStateHosts)
    private val history = ManifestHistory()
    private var toSync: ManifestRecord? = null
    private var received: ManifestRecord? = null
    private var heardNumber = 0L
    private var isRecovering = peers.isStateHost && stored == null
    private var isReady = false
    private var hasToPullFull = false
    private var lastPullMs = Long.MIN_VALUE / 2
    private var lastSyncedMs = Long.MIN_VALUE / 2
    private var correlation = 0L

    /** The manifest in force, or null. */
    public var view: ManifestView? = null
        private set

    /** Record of the manifest in force, or null. */
    public var record: ManifestRecord? = null
        private set

    init {
        if (stored != null) onSynced(stored)
    }

    /** Takes a record that the group has committed. */
    public fun onCommitted(record: ManifestRecord) {
        heardNumber = maxOf(heardNumber, record.number)
        if (record.number > heldNumber()) toSync = record
    }

    /** Returns a record that is to be synced to disk, once. */
    public fun pollRecordToSync(): ManifestRecord? {
        val next = toSync?.takeIf { it.number > (received?.number ?: -1) }
        toSync = null
        return next
    }

    /** Notes that [record] is synced to the disk of this state host. */
    public fun onSynced(record: ManifestRecord) {
        history.add(record)
        if (record.number >= (received?.number ?: 0)) received = record
        region.noteSynced(peers.selfName, record.number)
        if (!isRecovering) region.noteAnswer(peers.selfName, record.number, isRecovering = false)
        lastSyncedMs = Long.MIN_VALUE / 2
        advance()
    }

    /** Notes a manifest number that a heartbeat or digest named. */
    public fun observeNumber(number: Long) {
        heardNumber = maxOf(heardNumber, number)
    }

    /** Asks again at the next [tick]. */
    public fun pullNow() {
        lastPullMs = Long.MIN_VALUE / 2
    }

    /** Lets time pass and returns the frames that are due. */
    public fun tick(nowMs: Long): List<Outgoing> {
        advance()
        return pulls(nowMs) + syncedNotes(nowMs)
    }

    /** Takes a frame of a linked host and returns the replies. */
    public fun receive(from: String, frame: LinkFrame): List<Outgoing> {
        frame.manifestSynced?.let { region.noteSynced(from, it.number) }
        frame.manifestPullReply?.let { reply(from, it) }
        advance()
        val pull = frame.manifestPull ?: return emptyList()
        return listOfNotNull(answer(from, pull)?.let { Outgoing(from, LinkFrame(manifestPullReply = it)) })
    }

    private fun heldNumber() = maxOf(received?.number ?: 0, toSync?.number ?: 0)

    private fun pulls(nowMs: Long): List<Outgoing> {
        val isBehind = !isReady || isRecovering || heardNumber > (view?.number ?: 0)
        if (nowMs - lastPullMs < if (isBehind) BEHIND_PULL_MS else IDLE_PULL_MS) return emptyList()
        lastPullMs = nowMs
        correlation++
        val region = (peers.regionStateHosts - peers.selfName).toList()
        val others = if (peers.isStateHost) peers.otherStateHosts.toList() else emptyList()
        val targets = if (isReady && !isRecovering) oneOf(region) + oneOf(others) else region + oneOf(others)
        return targets.map { Outgoing(it, LinkFrame(manifestPull = pull())) }
    }

    private fun oneOf(names: List<String>): List<String> =
        if (names.isEmpty()) emptyList() else listOf(names[(correlation % names.size).toInt()])

    private fun pull(): ManifestPull {
        val have = received.takeUnless { hasToPullFull }
        return ManifestPull(correlation, have?.number ?: 0, have?.digest.orEmpty())
    }

    private fun syncedNotes(nowMs: Long): List<Outgoing> {
        val number = received?.number ?: 0
        if (!peers.isStateHost || number == 0L || nowMs - lastSyncedMs < SYNCED_NOTE_MS) return emptyList()
        lastSyncedMs = nowMs
        val frame = LinkFrame(manifestSynced = ManifestSynced(number))
        return (peers.regionStateHosts - peers.selfName).map { Outgoing(it, frame) }
    }

    /** State hosts get what is synced here, so that they can sync it too; other hosts get what may be offered. */
    private fun answer(from: String, pull: ManifestPull): ManifestPullReply? {
        if (!peers.isStateHost) return null
        val isToStateHost = from in peers.regionStateHosts || from in peers.otherStateHosts
        val offer = if (isToStateHost) received else history.newestUpTo(region.offerable)
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

    private fun reply(from: String, reply: ManifestPullReply) {
        if (!reply.isStateHost) return
        region.noteAnswer(from, reply.syncedNumber, reply.isRecovering)
        observeNumber(reply.syncedNumber)
        val delta = reply.delta
        val base = received
        val record = when {
            delta != null && base != null -> ManifestText.apply(base, delta)
            else -> reply.record?.takeIf { it.digest == ManifestText.digest(it.text) }
        }
        if (delta != null || reply.record != null) hasToPullFull = record == null
        if (record == null || record.number <= heldNumber()) return
        if (peers.isStateHost) toSync = record else received = record
    }

    private fun advance() {
        val own = received?.number ?: 0
        val recovered = region.recoveryNumber()
        if (isRecovering && recovered != null && own >= recovered) finishRecovery()
        val candidate = if (peers.isStateHost) history.newestUpTo(region.offerable) else received
        if (!isReady) {
            val startNumber = region.startNumber ?: return
            isReady = !isRecovering && (candidate?.number ?: 0) >= startNumber
        }
        if (isReady && candidate != null && candidate.number > (view?.number ?: 0)) putInForce(candidate)
    }

    /**
     * Ends recovery once something is stored.
     *
     * In a new region that is a record of number 0. Without it, state hosts that restart before the first manifest
     * would look like hosts that lost their disks, and two of three would wait for each other for ever.
     */
    private fun finishRecovery() {
        val stored = received
        if (stored == null) {
            if (toSync == null) toSync = ManifestRecord(0, ManifestText.digest(""), "")
            return
        }
        isRecovering = false
        region.noteAnswer(peers.selfName, stored.number, isRecovering = false)
    }

    private fun putInForce(next: ManifestRecord) {
        val isHeld = invariants.check(Guarantee.MANIFEST_MONOTONIC, next.number >= (view?.number ?: 0)) {
            "${peers.selfName}: manifest ${next.number} after ${view?.number}"
        }
        if (!isHeld) return
        parser.parse(next.text).onRight { manifest ->
            view = ManifestView(manifest, next.digest)
            record = next
        }
    }

    private companion object {
        const val BEHIND_PULL_MS = 200L
        const val IDLE_PULL_MS = 2_000L
        const val SYNCED_NOTE_MS = 1_000L
    }
}

/** The last synced records, as bases of differences. */
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
