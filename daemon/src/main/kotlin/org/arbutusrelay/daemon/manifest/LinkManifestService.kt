package org.arbutusrelay.daemon.manifest

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.core.manifest.ManifestDecision
import org.arbutusrelay.core.manifest.ManifestLog
import org.arbutusrelay.core.manifest.ManifestNode
import org.arbutusrelay.core.manifest.ManifestParser
import org.arbutusrelay.core.manifest.ManifestPeers
import org.arbutusrelay.core.manifest.ManifestText
import org.arbutusrelay.core.manifest.ManifestView
import org.arbutusrelay.core.membership.Outgoing
import org.arbutusrelay.daemon.consensus.ConsensusGroup
import org.arbutusrelay.daemon.link.FrameReceiver
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.daemon.membership.LinkMembershipService
import org.arbutusrelay.schema.api.HostManifest
import org.arbutusrelay.schema.api.ManifestPublishResult
import org.arbutusrelay.schema.api.ManifestStatus
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.ManifestRecord
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.TimeSource

/** A voter of the manifest group: the consensus group and the replicated state machine. */
public class ManifestVoter(public val group: ConsensusGroup<ManifestDecision>, public val log: ManifestLog)

/**
 * Runs a [ManifestNode] over the links of this daemon, on state hosts and on hosts without a disk.
 *
 * [store] is set on state hosts and [voter] on voters of the group `manifest`. [voters] are the host names of all
 * voters; [peers] must be consistent with [store]. Inactive until [start].
 */
public class LinkManifestService(
    private val network: LinkNetwork,
    private val membership: LinkMembershipService,
    peers: ManifestPeers,
    voters: List<String>,
    private val parser: ManifestParser,
    private val store: ManifestStore?,
    private val voter: ManifestVoter?,
    private val scope: CoroutineScope,
    private val timeSource: TimeSource = TimeSource.Monotonic,
    invariants: Invariants = Invariants(),
) : ManifestService {
    private val origin = timeSource.markNow()
    private val lock = Any()
    private val node = ManifestNode(peers, store?.load(), invariants, parser)
    private val inForce = AtomicReference<ManifestView?>(null)
    private val inForceText = AtomicReference<String?>(null)
    private val listeners = CopyOnWriteArrayList<(ManifestView) -> Unit>()
    private val relays = (peers.regionStateHosts - peers.selfName).toList()
    private val publisher = ManifestPublisher(network, voter, voters, relays, scope, timeSource)

    init {
        require(peers.isStateHost == (store != null)) { "a store is required on state hosts and only there" }
        require(voter == null || store != null) { "a voter requires a store" }
    }

    override val current: ManifestView? get() = inForce.get()

    override val text: String? get() = inForceText.get()

    /** Starts the service; it runs until the returned job or the scope is cancelled. */
    public fun start(): Job {
        network.addReceiver(Receiver())
        return scope.launch {
            while (true) {
                step { advance() }
                synchronized(lock) { node.pollRecordToSync() }?.let { sync(it) }
                delay(TICK_INTERVAL_MS)
            }
        }
    }

    override suspend fun publish(text: String): Either<RelayError, ManifestPublishResult> {
        val parsed = parser.parse(text).mapLeft { errors ->
            RelayError(ErrorKind.MANIFEST_INVALID, errors.toText())
        }
        return parsed.flatMap { publisher.publish(ManifestRecord(it.number, ManifestText.digest(text), text)) }
            .flatMap { reply ->
                reply.refusal?.let { RelayError(ErrorKind.MANIFEST_INVALID, it).left() } ?: reply.toResult().right()
            }
    }

    override fun status(): ManifestStatus {
        val hosts = membership.hosts().hosts
        val newest =
            maxOf(membership.newestManifest, current?.number ?: 0, hosts.maxOfOrNull { it.manifestNumber } ?: 0)
        val digest = current?.takeIf { it.number == newest }?.digest.orEmpty()
        return ManifestStatus(
            newest,
            digest,
            hosts.map { HostManifest(it.hostName, it.region, it.manifestNumber, newest - it.manifestNumber) },
        )
    }

    override suspend fun awaitNumber(number: Long, timeoutMs: Long): Boolean {
        val start = timeSource.markNow()
        synchronized(lock) {
            node.observeNumber(number)
            node.pullNow()
        }
        step { advance() }
        while ((current?.number ?: 0) < number) {
            if (start.elapsedNow().inWholeMilliseconds >= timeoutMs) return false
            delay(POLL_INTERVAL_MS)
        }
        return true
    }

    override fun addListener(listener: (ManifestView) -> Unit) {
        listeners += listener
    }

    private fun advance(): List<Outgoing> {
        publisher.tick()
        voter?.log?.accepted?.let(node::onCommitted)
        node.observeNumber(membership.newestManifest)
        return node.tick(origin.elapsedNow().inWholeMilliseconds)
    }

    private suspend fun sync(record: ManifestRecord) {
        checkNotNull(store) { "only a host with a store can sync a manifest" }.save(record)
        step {
            node.onSynced(record)
            node.tick(origin.elapsedNow().inWholeMilliseconds)
        }
    }

    /** Runs [action] under the lock, sends its frames, and makes a new manifest in force visible to readers. */
    private fun step(action: () -> List<Outgoing>) {
        val changed = synchronized(lock) {
            action().forEach { network.send(it.hostName, it.frame) }
            node.view?.takeIf { it !== inForce.get() }?.also { view ->
                inForceText.set(node.record?.text)
                inForce.set(view)
            }
        }
        if (changed == null) return
        membership.updateSelf { it.copy(manifestNumber = maxOf(it.manifestNumber, changed.number)) }
        listeners.forEach { it(changed) }
    }

    private inner class Receiver : FrameReceiver {
        override fun onFrame(from: HostIdentity, frame: LinkFrame) {
            frame.manifestPublish?.let { publisher.receive(from.hostName, it) }
            frame.manifestPublishReply?.let(publisher::receive)
            if (frame.manifestPull != null || frame.manifestPullReply != null || frame.manifestSynced != null) {
                step { node.receive(from.hostName, frame) }
            }
        }
    }

    private companion object {
        const val TICK_INTERVAL_MS = 100L
        const val POLL_INTERVAL_MS = 10L
    }
}
