package org.arbutusrelay.daemon.consensus

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import org.arbutusrelay.core.consensus.ConsensusConfig
import org.arbutusrelay.core.consensus.StateMachine
import org.arbutusrelay.daemon.link.FrameReceiver
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.daemon.storage.ConsensusStorage
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.ManifestRecord
import org.arbutusrelay.schema.message.ReplicatedCommand
import kotlin.random.Random
import kotlin.test.assertEquals

/** Replicas of one group that run in virtual time on a network in memory. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class ReplicaGroupFixture(
    private val stateHosts: List<String>,
    /** Returns the delay of a message from one host to another, in milliseconds. */
    private val linkDelayMs: (String, String) -> Long = { _, _ -> 0 },
) {
    private val cutHosts = HashSet<String>()
    private var startCount = 0
    val networks = HashMap<String, FakeNetwork>()
    val stateMachines = HashMap<String, SumStateMachine>()

    fun startReplica(
        scope: TestScope,
        host: String,
        storage: ConsensusStorage,
        foundingVoters: List<String>?,
        options: ReplicaGroupOptions = ReplicaGroupOptions(),
        onFailure: (String) -> Unit = {},
        storageDispatcher: CoroutineDispatcher? = null,
        configure: (ConsensusConfig) -> ConsensusConfig = { it.copy(trailingEntries = 5) },
    ): ReplicaGroup<Long> {
        val dispatcher = StandardTestDispatcher(scope.testScheduler)
        networks[host] = FakeNetwork(host, scope)
        stateMachines[host] = SumStateMachine()
        val group = ReplicaGroup(
            name = "manifest",
            storage = storage,
            stateMachine = stateMachines.getValue(host),
            network = networks.getValue(host),
            stateHosts = { stateHosts.toSet() },
            // A host must not get the same identity again after it has lost its disk.
            random = Random(host.hashCode() + startCount++),
            foundingVoters = foundingVoters,
            timeSource = scope.testScheduler.timeSource,
            options = options,
            dispatchers = ReplicaDispatchers(dispatcher, storageDispatcher ?: dispatcher),
            onFailure = onFailure,
            configure = configure,
        )
        assertEquals(null, group.start().leftOrNull())
        return group
    }

    /** Drops all messages to and from [host] until [reconnect]. */
    fun cutOff(host: String) {
        cutHosts += host
    }

    fun reconnect(host: String) {
        cutHosts -= host
    }

    suspend fun awaitLeader(groups: Collection<ReplicaGroup<Long>>): ReplicaGroup<Long> {
        repeat(1_000) {
            groups.firstOrNull { it.isLeaseHeld() }?.let { return it }
            delay(10)
        }
        error("no leader in 10 s: ${groups.map { it.term to it.failure }}")
    }

    fun command(number: Long) = ReplicatedCommand(manifest = ManifestRecord(number, "", ""))

    /** Keeps the numbers of all applied commands. */
    internal class SumStateMachine : StateMachine<Long> {
        private val applied = ArrayList<Long>()
        var error: Throwable? = null
        val numbers: Set<Long> get() = applied.toSet()
        val sum: Long get() = applied.sum()

        override fun apply(index: Long, command: ReplicatedCommand): Long {
            error?.let { throw it }
            command.manifest?.let { applied += it.number }
            return sum
        }

        override fun snapshot() = applied.joinToString(",").toByteArray()

        override fun restore(snapshot: ByteArray) {
            applied.clear()
            snapshot.decodeToString().split(',').filter { it.isNotEmpty() }.mapTo(applied) { it.toLong() }
        }
    }

    internal inner class FakeNetwork(private val host: String, private val scope: TestScope? = null) :
        LinkNetwork {
        override val self = HostIdentity(host, "hue", "hue-1", 1)
        private val receivers = ArrayList<FrameReceiver>()
        private val lastArrivalMs = HashMap<String, Long>()

        override fun send(hostName: String, frame: LinkFrame): Boolean {
            if (isCut(hostName)) return false
            val target = networks[hostName] ?: return false
            val delayMs = linkDelayMs(host, hostName)
            if (delayMs > 0) deliverLater(target, frame, delayMs) else target.receive(self, frame)
            return true
        }

        /** Keeps the order of the messages to a host; those that a restart or a cut overtakes are lost. */
        private fun deliverLater(target: FakeNetwork, frame: LinkFrame, delayMs: Long) {
            val timeScope = checkNotNull(scope) { "a network with delays needs a test scope" }
            val nowMs = timeScope.testScheduler.currentTime
            val arrivalMs = maxOf(lastArrivalMs[target.host] ?: 0, nowMs + delayMs)
            lastArrivalMs[target.host] = arrivalMs
            timeScope.backgroundScope.launch {
                delay(arrivalMs - nowMs)
                val areConnected = networks[target.host] === target && networks[host] === this@FakeNetwork
                if (areConnected && !isCut(target.host)) target.receive(self, frame)
            }
        }

        private fun receive(from: HostIdentity, frame: LinkFrame): Unit = receivers.forEach { it.onFrame(from, frame) }

        override fun connected() = networks.filterKeys { !isCut(it) }.mapValues { it.value.self }

        override fun connect(hostName: String, address: String) = Unit

        override fun addReceiver(receiver: FrameReceiver) {
            receivers += receiver
        }

        private fun isCut(other: String) = other != host && (host in cutHosts || other in cutHosts)
    }
}
