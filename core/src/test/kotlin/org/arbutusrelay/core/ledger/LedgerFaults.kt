package org.arbutusrelay.core.ledger

import org.arbutusrelay.core.consensus.StateMachine
import org.arbutusrelay.schema.message.Attempt
import org.arbutusrelay.schema.message.LedgerCommand
import org.arbutusrelay.schema.message.LedgerRelease
import org.arbutusrelay.schema.message.LedgerReply.Decision
import org.arbutusrelay.schema.message.LedgerRequest
import org.arbutusrelay.schema.message.ReplicatedCommand

/** Faults injected into the ledger and its clients; the default injects none. */
internal open class LedgerFaults(
    /** Part of the message of the check that must detect the fault. */
    val expectedFailure: String = "",
) {
    open fun request(request: LedgerRequest): LedgerRequest = request

    open fun action(action: LedgerAction, request: LedgerRequest, state: LedgerState): LedgerAction = action

    open fun command(state: LedgerState, command: LedgerCommand): LedgerCommand = command

    /** True when the entry host sends a request although its grant request has timed out. */
    open val sendsAfterTimeout: Boolean get() = false

    /** True when the entry host releases an attempt after its connection broke, although it may have run. */
    open val releasesBrokenRun: Boolean get() = false

    /** False when the entry host does not repeat a finish or release in the new home region. */
    open val repeatsAfterMove: Boolean get() = true

    fun machine(machine: LedgerStateMachine, log: List<ReplicatedCommand>): StateMachine<LedgerDecision> =
        object : StateMachine<LedgerDecision> by machine {
            override fun apply(index: Long, command: ReplicatedCommand): LedgerDecision {
                check(log[index.toInt() - 1] === command)
                val ledger = command.ledger ?: return machine.apply(index, command)
                return machine.apply(index, ReplicatedCommand(ledger = command(machine.state, ledger)))
            }
        }
}

/** Injected faults that the randomised simulation must detect. */
internal val injectedFaults: Map<String, LedgerFaults> = mapOf(
    "grant without commit" to object : LedgerFaults("ran twice") {
        override fun action(action: LedgerAction, request: LedgerRequest, state: LedgerState): LedgerAction =
            if (request.grant == null || action !is LedgerAction.Propose || request.grant!!.key in state.entries) {
                action
            } else {
                LedgerAction.Answer(LedgerDecision(Decision.GRANTED))
            }
    },
    "release ignores the owner" to object : LedgerFaults("ran twice") {
        override fun command(state: LedgerState, command: LedgerCommand): LedgerCommand {
            val release = command.release ?: return command
            val owner = state.entries[release.key]?.attempt ?: release.attempt
            return command.copy(release = LedgerRelease(release.key, owner))
        }
    },
    "settle turned into release" to object : LedgerFaults("ran twice") {
        override fun command(state: LedgerState, command: LedgerCommand): LedgerCommand {
            val settle = command.settle ?: return command
            return command.copy(settle = null, release = LedgerRelease(settle.key, settle.attempt))
        }
    },
    "tombstone missing" to object : LedgerFaults("granted after its release") {
        override fun command(state: LedgerState, command: LedgerCommand): LedgerCommand {
            val release = command.release ?: return command
            if (state.entries[release.key]?.attempt == release.attempt) return command
            val otherAttempt = Attempt("nobody", 0, state.recordCount.toLong())
            return command.copy(release = LedgerRelease(release.key, otherAttempt))
        }
    },
    "fence ignored" to object : LedgerFaults("ran twice") {
        override fun command(state: LedgerState, command: LedgerCommand): LedgerCommand =
            command.fence?.let { command.copy(fence = it.copy(isFenced = false, importFrom = null)) } ?: command
    },
    "import drops the entries" to object : LedgerFaults("ran twice") {
        override fun command(state: LedgerState, command: LedgerCommand): LedgerCommand =
            command.imported?.let { command.copy(imported = it.copy(entries = emptyList())) } ?: command
    },
    "body digest ignored" to object : LedgerFaults("belongs to another request") {
        override fun request(request: LedgerRequest): LedgerRequest =
            request.copy(grant = request.grant?.copy(bodyDigest = "same"))
    },
    "request sent after the grant request timed out" to object : LedgerFaults("reported as not_run") {
        override val sendsAfterTimeout: Boolean get() = true
    },
    "broken run released" to object : LedgerFaults("ran twice") {
        override val releasesBrokenRun: Boolean get() = true
    },
    "finish not repeated in the new home" to object : LedgerFaults("is lost") {
        override val repeatsAfterMove: Boolean get() = false
    },
    "former home not queried" to object : LedgerFaults("ran twice") {
        override fun action(action: LedgerAction, request: LedgerRequest, state: LedgerState): LedgerAction =
            if (action is LedgerAction.QueryFormerHomes) {
                val grant = request.grant?.copy(absentFor = action.manifestNumber)
                LedgerAction.Propose(LedgerCommand(state.timeMs, grant = grant))
            } else {
                action
            }
    },
)
