package org.arbutusrelay.daemon.consensus

import arrow.core.Either
import arrow.core.left
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.encodeToByteArray
import org.arbutusrelay.core.consensus.ConsensusConfig
import org.arbutusrelay.core.consensus.ConsensusNode
import org.arbutusrelay.core.consensus.ConsensusRole
import org.arbutusrelay.core.consensus.DurableState
import org.arbutusrelay.core.consensus.LeadershipEnd
import org.arbutusrelay.core.consensus.StateMachine
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.daemon.storage.ConsensusStorage
import org.arbutusrelay.daemon.storage.StorageError
import org.arbutusrelay.daemon.storage.StoredReplica
import org.arbutusrelay.daemon.storage.storageCbor
import org.arbutusrelay.schema.message.ReplicatedCommand
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import kotlin.time.TimeSource

/**
 * Runs one replica: consensus in one coroutine, storage writes in another, messages over [network].
 *
 * Every committed entry is applied to the state machine, including no-ops and voter changes. A replica that is not a
 * voter, or that no leader contacts, announces itself to [stateHosts]; the leader adds it as a learner and, after it
 * has caught up, as a voter that replaces an earlier replica of the same host.
 */
public class ReplicaGroup<R>(
    override val name: String,
    private val storage: ConsensusStorage,
    private val stateMachine: StateMachine<R>,
    private val network: LinkNetwork,
    /** Returns the names of the hosts that may run a replica of the group; the set may change. */
    private val stateHosts: () -> Set<String>,
    private val random: Random,
    /**
     * Hosts of the initial voters, or null to join an existing group. It must be null on a host that may have lost its
     * disk: a replica that reuses a founding identity could vote twice in a term or lack entries that it acknowledged.
     */
    private val foundingVoters: List<String>? = null,
    private val timeSource: TimeSource = TimeSource.Monotonic,
    private val options: ReplicaGroupOptions = ReplicaGroupOptions(),
    private val invariants: Invariants = Invariants(),
    private val dispatchers: ReplicaDispatchers = ReplicaDispatchers(),
    /** Called with the cause when the replica ends although no stop was requested. */
    private val onFailure: (String) -> Unit = {},
    /** Adjusts timeouts and limits of the replica; it must not change the group or the identity. */
    private val configure: (ConsensusConfig) -> ConsensusConfig = { it },
) : ConsensusGroup<R> {
    private val startMark = timeSource.markNow()
    private val listeners = CopyOnWriteArrayList<(Long, R) -> Unit>()
    private val leadershipListeners = CopyOnWriteArrayList<(LeadershipEnd) -> Unit>()
    private val status = MutableStateFlow(ReplicaStatus())
    private val failureCause = AtomicReference<String?>(null)
    private val errorHandler = CoroutineExceptionHandler { _, error -> fail("$error") }
    private val scope = CoroutineScope(SupervisorJob() + errorHandler)

    @Volatile
    private var driver: ReplicaDriver<R>? = null
    private var lostVoterRemoval: LostVoterRemoval? = null
    private var jobs: List<Job> = emptyList()

    override val leaderName: String? get() = status.value.leader?.let(ReplicaAddress::hostOf)
    override val term: Long get() = status.value.term

    /** Current voters as known to this replica. */
    public val voters: List<String> get() = status.value.voters

    /** Hosts of the current voters as known to this replica. */
    public val voterHosts: Set<String> get() = voters.map(ReplicaAddress::hostOf).toSet()

    /** True while this replica cannot write to its storage and takes no part in decisions. */
    public val isStorageFailing: Boolean get() = status.value.isStorageFailing

    /** Cause of a stop that was not requested, or null. */
    public val failure: String? get() = failureCause.get()

    /** Number of lost voters removed by this process. */
    public val removedLostVoters: Long get() = lostVoterRemoval?.removedCount ?: 0

    /** Number of lost voter removals refused by this process. */
    public val refusedLostVoters: Long get() = lostVoterRemoval?.refusedCount ?: 0

    init {
        require(options.lostVoter == null || stateHosts().size == 2) {
            "$name: a lost voter can be removed only from a group of two state hosts"
        }
    }

    /** Loads or creates the replica and starts it. Must be called only once. */
    public fun start(): Either<StorageError, Unit> = loadOrCreate().map { replica ->
        val config = configure(ConsensusConfig(name, replica.identity, commandBytes = ::encodedBytes))
        val node = ConsensusNode(config, replica.state, Random(random.nextLong()), nowMs(), invariants)
        if (replica.state.snapshot.lastIndex > 0) stateMachine.restore(replica.state.snapshot.state)
        val planner = ReconfigurationPlanner(stateHosts, options.maxVoters, options.replaceAfterMs)
        val removal = LostVoterRemoval(node, options.lostVoter, nowMs())
        lostVoterRemoval = removal
        val newDriver =
            ReplicaDriver(
                node,
                storage,
                stateMachine,
                network,
                planner,
                options,
                status,
                ::nowMs,
                ::notifyListeners,
                { end -> leadershipListeners.forEach { it(end) } },
                removal,
            )
        driver = newDriver
        network.addReceiver(newDriver)
        jobs = listOf(
            scope.launch(dispatchers.driver) { newDriver.run { stateHosts() - network.self.hostName } },
            scope.launch(dispatchers.storage) { newDriver.storageWriter.run() },
        )
        scope.launch(dispatchers.driver) { newDriver.runTicker() }
    }

    override fun isLeaseHeld(): Boolean = nowMs() < status.value.leaseUntilMs

    /** Returns what this replica knows of the newest state, or null before [start]. */
    public fun confirmation(): LogConfirmation? = driver?.confirmation?.let { latest ->
        LogConfirmation(latest.confirmedMs?.let { nowMs() - it }, latest.appliedIndex)
    }

    override suspend fun propose(command: ReplicatedCommand): Either<RelayError, R> {
        val activeDriver = driver ?: return RelayError(ErrorKind.NOT_READY).left()
        val proposal = Proposal<R>(command)
        if (!activeDriver.submit(proposal)) return RelayError(ErrorKind.OVERLOADED, "the queue of $name is full").left()
        return proposal.result.await()
    }

    override fun addListener(listener: (Long, R) -> Unit) {
        listeners += listener
    }

    /** Calls [listener] each time this replica has stopped leading; it must not block. */
    public fun addLeadershipListener(listener: (LeadershipEnd) -> Unit) {
        leadershipListeners += listener
    }

    override suspend fun transferLeadership() {
        // A group of one voter has no other voter to transfer to; waiting would only delay the stop.
        if (status.value.role != ConsensusRole.LEADER || voters.size < 2) return
        driver?.requestTransfer()
        withTimeoutOrNull(options.transferWaitMs) { status.first { it.role != ConsensusRole.LEADER } }
    }

    /** Transfers leadership, syncs queued writes and closes the storage. Pending proposals end as outcome unknown. */
    public suspend fun stop() {
        transferLeadership()
        driver?.requestStop()
        jobs.joinAll()
        scope.cancel()
    }

    /**
     * Stops without a leadership transfer and closes the storage. Pending proposals end as outcome unknown.
     *
     * Blocks until the current write is synced, so that another process can open the data folder afterwards.
     */
    public fun close() {
        scope.cancel()
        runBlocking { jobs.joinAll() }
    }

    /** Ends the whole replica: without its storage it could promise what it does not keep. */
    private fun fail(cause: String) {
        if (!failureCause.compareAndSet(null, cause)) return
        driver?.requestStop()
        onFailure(cause)
    }

    private fun loadOrCreate(): Either<StorageError, StoredReplica> = storage.load().fold(
        { it.left() },
        { stored ->
            if (stored !=
                null
            ) {
                Either.Right(stored)
            } else {
                newReplica().let { new -> storage.create(new).map { new } }
            }
        },
    )

    private fun newReplica(): StoredReplica {
        val host = network.self.hostName
        val isFounder = foundingVoters != null && host in foundingVoters
        val identity = if (isFounder) host else ReplicaAddress.newIdentity(host, random)
        return StoredReplica(identity, DurableState.founding(if (isFounder) foundingVoters.orEmpty() else emptyList()))
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun encodedBytes(command: ReplicatedCommand): Int = storageCbor.encodeToByteArray(command).size

    private fun notifyListeners(index: Long, result: R) = listeners.forEach { it(index, result) }

    private fun nowMs(): Long = startMark.elapsedNow().inWholeMilliseconds
}

/** What a replica knows of the newest state of its group. */
public data class LogConfirmation(
    /** Age of the time until which a majority has confirmed this leader; null if this replica is not such a leader. */
    val ageMs: Long?,
    /** Index up to which the replica has applied the log, including entries that change nothing. */
    val appliedIndex: Long,
)

/** Dispatchers of a replica; writes to [storage] block their thread. */
public data class ReplicaDispatchers(
    val driver: CoroutineDispatcher = Dispatchers.Default,
    val storage: CoroutineDispatcher = Dispatchers.IO,
)

/** Replica state that is published to other threads. */
internal data class ReplicaStatus(
    val role: ConsensusRole = ConsensusRole.FOLLOWER,
    val leader: String? = null,
    val term: Long = 0,
    val voters: List<String> = emptyList(),
    val leaseUntilMs: Long = Long.MIN_VALUE,
    val isStorageFailing: Boolean = false,
)
