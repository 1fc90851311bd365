package org.arbutusrelay.daemon.consensus

import arrow.core.left
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.selects.select
import org.arbutusrelay.core.consensus.ConsensusEffect
import org.arbutusrelay.core.consensus.ConsensusEvent
import org.arbutusrelay.core.consensus.ConsensusNode
import org.arbutusrelay.core.consensus.ConsensusRole
import org.arbutusrelay.core.consensus.LeadershipEnd
import org.arbutusrelay.core.consensus.StateMachine
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.daemon.link.FrameReceiver
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.daemon.storage.ConsensusStorage
import org.arbutusrelay.schema.message.ConsensusMessage
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.LogEntry
import org.arbutusrelay.schema.message.ReplicatedCommand
import org.arbutusrelay.schema.message.VoterChange

/** Runs the event loop of a [ConsensusNode] in one coroutine and executes its effects. */
internal class ReplicaDriver<R>(
    private val node: ConsensusNode,
    storage: ConsensusStorage,
    private val stateMachine: StateMachine<R>,
    private val network: LinkNetwork,
    private val planner: ReconfigurationPlanner,
    private val options: ReplicaGroupOptions,
    private val status: MutableStateFlow<ReplicaStatus>,
    private val nowMs: () -> Long,
    private val onApplied: (Long, R) -> Unit,
    private val onLeadershipEnd: (LeadershipEnd) -> Unit,
    private val lostVoterRemoval: LostVoterRemoval,
) : FrameReceiver {
    private val queue = Channel<Input<R>>(options.queueLength)

    /** Inputs that must not be dropped; unbounded, because there are only a few at a time. */
    private val controlQueue = Channel<Input<R>>(Channel.UNLIMITED)
    private val pending = PendingProposals<R>()
    private var proposedBatch: List<Proposal<R>> = emptyList()
    private var appliedIndex = node.snapshotIndex

    /** Size of the commands that were applied since the latest snapshot. */
    private var appliedBytes = 0L
    private var nextMaintenanceMs = 0L
    val storageWriter = StorageWriter(
        node.config.group,
        storage,
        onSynced = { controlQueue.trySend(Input.Synced(it)) },
        onFailing = { controlQueue.trySend(Input.StorageFailing) },
    )

    /** What was confirmed by a majority when the latest step had been applied. */
    @Volatile
    var confirmation = Confirmation(null, appliedIndex)
        private set

    /** True while writes to storage fail. */
    private var isStorageFailing = false

    fun submit(proposal: Proposal<R>): Boolean = queue.trySend(Input.Propose(proposal)).isSuccess

    fun requestTransfer() {
        controlQueue.trySend(Input.Event(ConsensusEvent.TransferLeadership()))
    }

    fun requestStop() {
        controlQueue.trySend(Input.Stop)
    }

    override fun onFrame(from: HostIdentity, frame: LinkFrame) {
        val message = frame.consensus ?: return
        val isForeign = message.group != node.config.group || ReplicaAddress.hostOf(message.from) != from.hostName
        // A full queue drops the message; the protocol resends it.
        if (!isForeign) queue.trySend(Input.Message(message))
    }

    suspend fun runTicker() {
        while (true) {
            delay(options.tickMs)
            queue.trySend(Input.Event(ConsensusEvent.Tick))
        }
    }

    /** Runs until a stop is requested; throws if an invariant is violated. */
    suspend fun run(otherHosts: () -> Set<String>) {
        try {
            while (true) {
                val input = select {
                    controlQueue.onReceive { it }
                    queue.onReceive { it }
                }
                if (input is Input.Stop) break
                handle(input)
                maintain(otherHosts)
            }
        } finally {
            shutdown()
        }
    }

    private fun shutdown() {
        status.value = status.value.copy(
            role = ConsensusRole.FOLLOWER,
            leader = null,
            leaseUntilMs = Long.MIN_VALUE,
        )
        pending.failAll(outcomeUnknown())
        proposedBatch.forEach { it.result.complete(outcomeUnknown().left()) }
        queue.close()
        while (true) {
            val input = queue.tryReceive().getOrNull() ?: break
            if (input is Input.Propose) input.proposal.result.complete(RelayError(ErrorKind.SHUTTING_DOWN).left())
        }
        storageWriter.shutdown()
    }

    private fun handle(input: Input<R>) {
        when (input) {
            is Input.Event -> step(input.event)
            is Input.Synced -> onSynced(input.id)
            is Input.StorageFailing -> onStorageFailing()
            is Input.Message -> onMessage(input.message)
            is Input.Propose -> proposeBatch(input)
            is Input.Stop -> Unit
        }
    }

    private fun onSynced(id: Long) {
        isStorageFailing = false
        step(ConsensusEvent.Persisted(id))
    }

    /** Lets a voter with a sound disk lead; until then, this replica accepts no commands that it could not store. */
    private fun onStorageFailing() {
        isStorageFailing = true
        step(ConsensusEvent.TransferLeadership())
    }

    private fun onMessage(message: ConsensusMessage) {
        if (ReplicaAddress.isAnnouncement(message)) planner.onAnnouncement(message.from, nowMs())
        step(ConsensusEvent.Receive(message))
    }

    /** Appends queued proposals as one batch. A voter change is proposed alone, so its refusal fails nothing else. */
    private fun proposeBatch(first: Input.Propose<R>) {
        val batch = mutableListOf(first.proposal)
        var next: Input<R>? = null
        while (first.proposal.command.voterChange == null && batch.size < options.maxProposalBatch) {
            next = queue.tryReceive().getOrNull() ?: break
            if (next !is Input.Propose || next.proposal.command.voterChange != null) break
            batch += next.proposal
            next = null
        }
        propose(batch)
        next?.let(::handle)
    }

    private fun propose(batch: List<Proposal<R>>) {
        if (pending.size + batch.size > options.maxPending || pending.sizeBytes >= options.maxPendingBytes) {
            val error = RelayError(ErrorKind.OVERLOADED, "too many commands wait for ${node.config.group}")
            return batch.forEach { it.result.complete(error.left()) }
        }
        if (isStorageFailing) {
            val error = RelayError(options.unavailableKind, "${node.config.group}: storage cannot be written")
            return batch.forEach { it.result.complete(error.left()) }
        }
        proposedBatch = batch
        step(ConsensusEvent.Propose(batch.map { it.command }))
        proposedBatch = emptyList()
    }

    private fun step(event: ConsensusEvent) {
        val now = nowMs()
        val effects = node.step(event, now)
        // Published before the effects run: a message that ends the lease must not be sent while other threads can
        // still see the lease as held.
        val leaseUntilMs = node.leaseUntilMs(now)
        status.value = ReplicaStatus(node.role, node.leader, node.term, node.voters, leaseUntilMs, isStorageFailing)
        effects.forEach(::execute)
        // Read after the effects ran: the confirmed time covers entries that were committed in this step.
        confirmation = Confirmation(node.confirmedMs(), appliedIndex)
    }

    private fun execute(effect: ConsensusEffect) {
        when (effect) {
            is ConsensusEffect.Persist -> storageWriter.submit(effect)

            is ConsensusEffect.Send ->
                network.send(ReplicaAddress.hostOf(effect.message.to), LinkFrame(consensus = effect.message))

            is ConsensusEffect.Apply -> apply(effect.entries)

            is ConsensusEffect.Restore -> {
                stateMachine.restore(effect.snapshot.state)
                appliedIndex = effect.snapshot.lastIndex
                appliedBytes = 0
            }

            is ConsensusEffect.RoleChange -> {
                if (effect.role != ConsensusRole.LEADER) pending.failAll(outcomeUnknown())
                effect.ended?.let(onLeadershipEnd)
            }

            is ConsensusEffect.Recovered -> lostVoterRemoval.onResult(effect)

            is ConsensusEffect.Proposed -> onProposed(effect)
        }
    }

    private fun onProposed(effect: ConsensusEffect.Proposed) {
        val refusal = effect.refusal
        proposedBatch.forEachIndexed { position, proposal ->
            if (refusal == null) {
                val index = effect.firstIndex + position
                pending.add(index, effect.term, proposal, node.bytesAt(index))
            } else {
                val detail = "${node.config.group}: ${refusal.name.lowercase()}"
                proposal.result.complete(RelayError(options.unavailableKind, detail).left())
            }
        }
        proposedBatch = emptyList()
    }

    private fun apply(entries: List<LogEntry>) {
        for (entry in entries) {
            val result = stateMachine.apply(entry.index, entry.command)
            appliedIndex = entry.index
            appliedBytes += node.bytesAt(entry.index)
            onApplied(entry.index, result)
            pending.onApplied(entry, result, outcomeUnknown())
        }
    }

    private fun maintain(otherHosts: () -> Set<String>) {
        if (isSnapshotDue()) {
            appliedBytes = 0
            step(ConsensusEvent.SnapshotTaken(appliedIndex, stateMachine.snapshot()))
        }
        val now = nowMs()
        if (now < nextMaintenanceMs) return
        nextMaintenanceMs = now + MAINTENANCE_INTERVAL_MS
        lostVoterRemoval.pollDue(now)?.let { step(ConsensusEvent.RemoveLostVoter(it)) }
        if (node.role == ConsensusRole.LEADER) return updateVoters(now)
        planner.onFollower()
        if (!node.isMembershipUncertain) return
        for (host in otherHosts()) {
            val message = ReplicaAddress.announcement(node.config.group, node.config.self, host)
            network.send(host, LinkFrame(consensus = message))
        }
    }

    private fun isSnapshotDue(): Boolean = appliedIndex - node.snapshotIndex >= options.snapshotEntries ||
        appliedBytes >= maxOf(options.snapshotBytes, node.snapshotBytes.toLong())

    private fun updateVoters(now: Long) {
        planner.onReachable(network.connected().keys + network.self.hostName, node.voters, now)
        step(ConsensusEvent.SetLearners(planner.learners(node.voters, now)))
        val voters = planner.nextVoters(node.voters, now) ?: return
        // Refused until the learner has caught up and the previous change is committed; maintenance retries it.
        step(ConsensusEvent.Propose(listOf(ReplicatedCommand(voterChange = VoterChange(voters)))))
    }

    private fun outcomeUnknown() = RelayError(options.unknownKind)

    /** Time that [ConsensusNode.confirmedMs] returned, and the index up to which entries are applied. */
    class Confirmation(val confirmedMs: Long?, val appliedIndex: Long)

    private sealed interface Input<out R> {
        class Event(val event: ConsensusEvent) : Input<Nothing>

        class Synced(val id: Long) : Input<Nothing>

        data object StorageFailing : Input<Nothing>

        class Message(val message: ConsensusMessage) : Input<Nothing>

        class Propose<R>(val proposal: Proposal<R>) : Input<R>

        data object Stop : Input<Nothing>
    }

    private companion object {
        const val MAINTENANCE_INTERVAL_MS = 500L
    }
}
