package org.arbutusrelay.daemon.site

import arrow.core.Either
import arrow.core.left
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.arbutusrelay.core.digest.sha256Hex
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.route.RoutePlanParser
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.consensus.ConsensusGroup
import org.arbutusrelay.schema.message.DocumentRecord
import org.arbutusrelay.schema.message.EvacuationChange
import org.arbutusrelay.schema.message.ReplicatedCommand
import org.arbutusrelay.schema.message.SiteState

/** How an operator's order ended at a state host. */
public sealed interface OrderResult {
    /** The order is in the log and in force from [state] on. */
    public data class Done(val state: SiteState) : OrderResult

    /** Another state host leads the log and decides the order. */
    public data class Elsewhere(val leaderName: String) : OrderResult

    /** The order was not accepted, or may have been; [error] tells which. */
    public data class Failed(val error: RelayError) : OrderResult
}

/**
 * Takes the orders of operators at a state host.
 *
 * An order is acknowledged once a majority of the state hosts has synced it to disk. Reads go through the log as well:
 * a leader that was frozen cannot know from its own clock whether its lease still holds.
 */
public class SiteControl(
    private val group: ConsensusGroup<SiteState>,
    private val selfName: String,
    private val parser: RoutePlanParser,
    private val clock: RelayClock,
) {
    /** Accepts the operator's document with [content]; one that is not newer than the present one changes nothing. */
    public suspend fun publish(content: ByteArray): OrderResult = parser.parse(content).fold(
        { OrderResult.Failed(it) },
        { plan -> order(ReplicatedCommand(document = DocumentRecord(plan.number, sha256Hex(content), content))) },
    )

    /** Evacuates an availability zone or takes it back. */
    public suspend fun setEvacuated(availabilityZone: String, isEvacuated: Boolean): OrderResult =
        order(ReplicatedCommand(evacuation = EvacuationChange(availabilityZone, isEvacuated)))

    /** Returns the state that includes every order acknowledged before the call. */
    public suspend fun read(): OrderResult = order(ReplicatedCommand())

    private suspend fun order(command: ReplicatedCommand): OrderResult {
        val startMs = clock.nowMs()
        while (true) {
            val leader = group.leaderName
            if (leader != null && leader != selfName) return OrderResult.Elsewhere(leader)
            val remainingMs = PATIENCE_MS - (clock.nowMs() - startMs)
            if (remainingMs <= 0) return OrderResult.Failed(RelayError(ErrorKind.MANIFEST_GROUP_UNAVAILABLE))
            if (leader == selfName) {
                val result = propose(command, remainingMs)
                val isRefused = result.leftOrNull()?.kind == ErrorKind.MANIFEST_GROUP_UNAVAILABLE
                if (!isRefused) return result.fold({ OrderResult.Failed(it) }, { OrderResult.Done(it) })
            }
            delay(POLL_MS)
        }
    }

    private suspend fun propose(command: ReplicatedCommand, remainingMs: Long): Either<RelayError, SiteState> {
        val decided = withTimeoutOrNull(remainingMs) { group.propose(command) }
        return decided ?: RelayError(ErrorKind.MANIFEST_OUTCOME_UNKNOWN).left()
    }

    private companion object {
        /** Callers turn to another state host after a second without a response. */
        const val PATIENCE_MS = 850L
        const val POLL_MS = 30L
    }
}
