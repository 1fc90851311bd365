package org.arbutusrelay.daemon.ledger

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.ledger.CallerHome
import org.arbutusrelay.core.ledger.LedgerDecision
import org.arbutusrelay.core.ledger.LedgerRules
import org.arbutusrelay.core.ledger.LedgerStateMachine
import org.arbutusrelay.daemon.consensus.ConsensusGroup
import org.arbutusrelay.daemon.link.FrameReceiver
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.ReplicatedCommand
import kotlin.time.TimeSource

/** Simulated links between hosts; a frame arrives after 2 ms, unless [isDropped] returns true for it. */
internal class FakeNetwork(private val scope: CoroutineScope) {
    val links = HashMap<String, FakeLink>()
    var isDropped: (String, LinkFrame) -> Boolean = { _, _ -> false }

    fun link(hostName: String, epoch: Long, region: String = "hue"): FakeLink =
        FakeLink(HostIdentity(hostName, region, "a", epoch)).also { links[hostName] = it }

    inner class FakeLink(override val self: HostIdentity) : LinkNetwork {
        private val receivers = mutableListOf<FrameReceiver>()

        override fun send(hostName: String, frame: LinkFrame): Boolean {
            val to = links[hostName] ?: return false
            if (isDropped(hostName, frame)) return true
            scope.launch {
                delay(2)
                to.receivers.forEach { it.onFrame(self, frame) }
            }
            return true
        }

        override fun connected(): Map<String, HostIdentity> = links.mapValues { it.value.self }

        override fun connect(hostName: String, address: String) = Unit

        override fun addReceiver(receiver: FrameReceiver) {
            receivers += receiver
        }
    }
}

/** Simulated log that the replicas of a group share; each entry commits after 3 ms. */
internal class FakeReplicatedLog(private val scope: CoroutineScope, private val region: String = "hue") {
    var leader: String? = null
        private set
    var term = 0L
        private set
    var isLeaseHeld = true
    var isStalled = false
    val replicas = HashMap<String, FakeGroup>()
    var commitCount = 0L
        private set

    fun elect(hostName: String) {
        leader = hostName
        term++
    }

    fun replica(hostName: String): FakeGroup = FakeGroup(hostName).also { replicas[hostName] = it }

    inner class FakeGroup(private val hostName: String) : ConsensusGroup<LedgerDecision> {
        val machine = LedgerStateMachine()
        override val name = "ledger/$region"
        override val leaderName: String? get() = leader
        override val term: Long get() = this@FakeReplicatedLog.term

        override fun isLeaseHeld(): Boolean = leader == hostName && isLeaseHeld

        override suspend fun propose(command: ReplicatedCommand): Either<RelayError, LedgerDecision> {
            if (leader != hostName) return RelayError(ErrorKind.LEDGER_UNAVAILABLE).left()
            val proposalTerm = term
            delay(3)
            if (isStalled || term != proposalTerm) return RelayError(ErrorKind.OUTCOME_UNKNOWN).left()
            commitCount++
            return replicas.values.map { it to it.machine.apply(commitCount, command) }.first { it.first === this }
                .second.right()
        }

        override fun addListener(listener: (Long, LedgerDecision) -> Unit) = Unit

        override suspend fun transferLeadership() = Unit
    }
}

internal class FakeCallerHomes(private val region: String = "hue") : CallerHomes {
    val homes = HashMap<String, CallerHome>()

    override fun homeOf(caller: String): CallerHome = homes[caller] ?: CallerHome(region)

    override fun moved(): Map<String, CallerHome> = homes

    override fun isAllowed(service: String, region: String): Boolean = service != "bound"
}

internal fun ledgerService(
    group: FakeReplicatedLog.FakeGroup,
    link: LinkNetwork,
    homes: CallerHomes,
    scope: CoroutineScope,
    timeSource: TimeSource,
): LedgerService =
    LedgerService(group, group.machine, LedgerRules(link.self.region), homes, link, scope, timeSource).apply { start() }
