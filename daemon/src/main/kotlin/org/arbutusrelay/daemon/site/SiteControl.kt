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

/** Result of an operator's command at a state host. */
public sealed interface CommandResult {
    /** The command is committed and applied; [state] is the state after it. */
    public data class Done(val state: SiteState) : CommandResult

    /** This host is not the leader; [leaderName] is the state host that decides the command. */
    public data class NotLeader(val leaderName: String) : CommandResult

    /** The command was rejected or its outcome is unknown, as given by [error]. */
    public data class Failed(val error: RelayError) : CommandResult
}

/**
 * Executes operator commands at a state host.
 *
 * A command is acknowledged once a majority of the state hosts has synced it to disk. Reads also go through the log: a
 * leader whose process was paused cannot determine from its own clock whether its lease is still valid.
 */
public class SiteControl(
    private val group: ConsensusGroup<SiteState>,
    private val selfName: String,
    private val parser: RoutePlanParser,
    private val clock: RelayClock,
) {
    /** Publishes the document in [content]; has no effect unless it is newer than the current document. */
    public suspend fun publish(content: ByteArray): CommandResult = parser.parse(content).fold(
        { CommandResult.Failed(it) },
        { plan -> execute(ReplicatedCommand(document = DocumentRecord(plan.number, sha256Hex(content), content))) },
    )

    /** Evacuates an availability zone or ends its evacuation. */
    public suspend fun setEvacuated(availabilityZone: String, isEvacuated: Boolean): CommandResult =
        execute(ReplicatedCommand(evacuation = EvacuationChange(availabilityZone, isEvacuated)))

    /** Returns a state that includes every command acknowledged before the call. */
    public suspend fun read(): CommandResult = execute(ReplicatedCommand())

    private suspend fun execute(command: ReplicatedCommand): CommandResult {
        val startMs = clock.nowMs()
        while (true) {
            val leader = group.leaderName
            if (leader != null && leader != selfName) return CommandResult.NotLeader(leader)
            val remainingMs = COMMAND_TIMEOUT_MS - (clock.nowMs() - startMs)
            if (remainingMs <= 0) return CommandResult.Failed(RelayError(ErrorKind.MANIFEST_GROUP_UNAVAILABLE))
            if (leader == selfName) {
                val result = propose(command, remainingMs)
                val isRefused = result.leftOrNull()?.kind == ErrorKind.MANIFEST_GROUP_UNAVAILABLE
                if (!isRefused) return result.fold({ CommandResult.Failed(it) }, { CommandResult.Done(it) })
            }
            delay(LEADER_POLL_INTERVAL_MS)
        }
    }

    private suspend fun propose(command: ReplicatedCommand, remainingMs: Long): Either<RelayError, SiteState> {
        val decision = withTimeoutOrNull(remainingMs) { group.propose(command) }
        return decision ?: RelayError(ErrorKind.MANIFEST_OUTCOME_UNKNOWN).left()
    }

    private companion object {
        /** Shorter than the timeout of one second after which callers try another state host. */
        const val COMMAND_TIMEOUT_MS = 850L
        const val LEADER_POLL_INTERVAL_MS = 30L
    }
}
