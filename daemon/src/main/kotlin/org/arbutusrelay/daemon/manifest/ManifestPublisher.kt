package org.arbutusrelay.daemon.manifest

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.arbutusrelay.core.consensus.LeaderClock
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.Outcome
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.manifest.ManifestDecision
import org.arbutusrelay.core.manifest.ManifestError
import org.arbutusrelay.daemon.consensus.ConsensusGroup
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.schema.api.ManifestPublishResult
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.ManifestPublish
import org.arbutusrelay.schema.message.ManifestPublishReply
import org.arbutusrelay.schema.message.ManifestRecord
import org.arbutusrelay.schema.message.ReplicatedCommand
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.TimeSource

/** Sends publications to the leader of the manifest group; on the leader, proposes those of other hosts. */
internal class ManifestPublisher(
    private val network: LinkNetwork,
    private val voter: ManifestVoter?,
    private val voters: List<String>,
    private val relays: List<String>,
    private val scope: CoroutineScope,
    private val timeSource: TimeSource,
) {
    private val pending = ConcurrentHashMap<Long, CompletableDeferred<ManifestPublishReply>>()
    private val correlations = AtomicLong()
    private val group = voter?.group
    private val clock = LeaderClock()
    private val origin = timeSource.markNow()

    /** Tries the known leader, then the voters, then [relays], until one returns a decision or 5 s have elapsed. */
    suspend fun publish(record: ManifestRecord, canRelay: Boolean = true): Either<RelayError, ManifestPublishReply> {
        val start = timeSource.markNow()
        var isOutcomeUnknown = false
        var leaderHint: String? = null
        var attempt = 0
        while (start.elapsedNow().inWholeMilliseconds < PUBLISH_TIMEOUT_MS) {
            val result = when (val target = target(leaderHint, attempt++, canRelay)) {
                network.self.hostName -> propose(record)
                null -> RelayError(ErrorKind.MANIFEST_GROUP_UNAVAILABLE).left()
                else -> forwardTo(target, record)
            }
            result.onLeft { isOutcomeUnknown = isOutcomeUnknown || it.kind.outcome == Outcome.UNKNOWN }
            val reply = result.getOrNull()
            if (reply != null && reply.decision != ManifestPublishReply.Decision.NO_LEADER) return reply.right()
            leaderHint = reply?.leaderName
            delay(RETRY_INTERVAL_MS)
        }
        val kind = if (isOutcomeUnknown) ErrorKind.MANIFEST_OUTCOME_UNKNOWN else ErrorKind.MANIFEST_GROUP_UNAVAILABLE
        return RelayError(kind).left()
    }

    /** Proposes or relays a publication of another host and replies; sends no reply if the outcome is unknown. */
    fun receive(from: String, publish: ManifestPublish) {
        scope.launch {
            val result = if (group != null) propose(publish.record) else publish(publish.record, canRelay = false)
            val reply = result.fold({ if (it.kind.outcome == Outcome.NOT_RUN) noLeader() else null }, { it })
            val frame = reply?.let { LinkFrame(manifestPublishReply = it.copy(correlation = publish.correlation)) }
            if (frame != null) network.send(from, frame)
        }
    }

    fun receive(reply: ManifestPublishReply) {
        pending.remove(reply.correlation)?.complete(reply)
    }

    /** Advances the group time while this host is the leader, also between publications. */
    fun tick() {
        if (group?.isLeaseHeld() == true) groupTimeMs()
    }

    private fun groupTimeMs(): Long? =
        voter?.let { clock.atMs(it.group.term, it.log.timeMs, origin.elapsedNow().inWholeMilliseconds) }

    private fun target(leaderHint: String?, attempt: Int, canRelay: Boolean): String? {
        if (group?.isLeaseHeld() == true) return network.self.hostName
        val connected = network.connected().keys
        (leaderHint ?: group?.leaderName)?.takeIf { it in connected }?.let { return it }
        val candidates = voters.filter { it in connected }.ifEmpty {
            if (canRelay) relays.filter { it in connected } else emptyList()
        }
        return if (candidates.isEmpty()) null else candidates[attempt % candidates.size]
    }

    private suspend fun forwardTo(target: String, record: ManifestRecord): Either<RelayError, ManifestPublishReply> {
        val correlation = correlations.incrementAndGet()
        val reply = CompletableDeferred<ManifestPublishReply>()
        pending[correlation] = reply
        val isSent = network.send(target, LinkFrame(manifestPublish = ManifestPublish(correlation, record)))
        val received = if (isSent) withTimeoutOrNull(REPLY_TIMEOUT_MS) { reply.await() } else null
        pending.remove(correlation)
        val kind = if (isSent) ErrorKind.MANIFEST_OUTCOME_UNKNOWN else ErrorKind.MANIFEST_GROUP_UNAVAILABLE
        return received?.right() ?: RelayError(kind).left()
    }

    private suspend fun propose(record: ManifestRecord): Either<RelayError, ManifestPublishReply> {
        val group = group ?: return noLeader().right()
        val timed = record.copy(groupTimeMs = groupTimeMs())
        return group.propose(ReplicatedCommand(manifest = timed)).map { decision ->
            val accepted = decision.accepted
            ManifestPublishReply(
                0,
                decision.kind.toReply(),
                accepted?.number ?: 0,
                accepted?.digest.orEmpty(),
                refusal = decision.errors.toText().takeIf { decision.kind == ManifestDecision.Kind.INVALID },
            )
        }
    }

    private fun noLeader() =
        ManifestPublishReply(0, ManifestPublishReply.Decision.NO_LEADER, 0, "", group?.leaderName)

    private fun ManifestDecision.Kind.toReply() = when (this) {
        ManifestDecision.Kind.ACCEPTED -> ManifestPublishReply.Decision.ACCEPTED
        ManifestDecision.Kind.DIGEST_CONFLICT -> ManifestPublishReply.Decision.DIGEST_CONFLICT
        ManifestDecision.Kind.STALE_NUMBER, ManifestDecision.Kind.INVALID -> ManifestPublishReply.Decision.STALE_NUMBER
        ManifestDecision.Kind.NONE -> error("a publication command must contain a manifest")
    }

    private companion object {
        const val PUBLISH_TIMEOUT_MS = 5_000L
        const val REPLY_TIMEOUT_MS = 2_000L
        const val RETRY_INTERVAL_MS = 100L
    }
}

/** Formats the [errors][ManifestError] as one line for operators. */
internal fun List<ManifestError>.toText(): String = joinToString("; ") { "${it.path}: ${it.message}" }

/** Converts this reply to the response body for operators; the decision must not be NO_LEADER. */
internal fun ManifestPublishReply.toResult(): ManifestPublishResult = ManifestPublishResult(
    number,
    digest,
    when (decision) {
        ManifestPublishReply.Decision.ACCEPTED -> ManifestPublishResult.Decision.ACCEPTED
        ManifestPublishReply.Decision.DIGEST_CONFLICT -> ManifestPublishResult.Decision.DIGEST_CONFLICT
        ManifestPublishReply.Decision.STALE_NUMBER -> ManifestPublishResult.Decision.STALE_NUMBER
        ManifestPublishReply.Decision.NO_LEADER -> error("NO_LEADER is not a final decision")
    },
)
