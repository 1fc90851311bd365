package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.ConsensusMessage
import org.arbutusrelay.schema.message.ReplicatedCommand
import org.arbutusrelay.schema.message.VoteReply
import kotlin.random.Random

/** Limits of an exhaustive exploration. */
data class ExplorerBounds(
    val hosts: Int = 3,
    val depth: Int = 12,
    val timeouts: Int = 2,
    val crashes: Int = 1,
    val proposals: Int = 0,
    val maxStates: Int = 200_000,
)

/** Number of visited states and transitions, and the first violation with its path. */
data class ExplorerResult(val states: Int, val transitions: Long, val isComplete: Boolean, val violation: String?)

/**
 * Explores every order of deliveries, syncs, election timeouts, crashes and proposals with real replicas, up to
 * [ExplorerBounds].
 *
 * An undelivered message models a lost message. The lease has expired at each event and each pre-vote is granted, which
 * only adds elections; lease safety is not checked here. Each state is reached by replay of its path.
 */
class ConsensusExplorer(private val bounds: ExplorerBounds, private val defect: Defect = Defect()) {
    private val visited = HashMap<String, Int>()
    private var transitions = 0L
    private var violation: String? = null

    fun explore(): ExplorerResult {
        visit(emptyList())
        val isComplete = visited.size < bounds.maxStates && violation == null
        return ExplorerResult(visited.size, transitions, isComplete, violation)
    }

    private fun visit(path: List<Action>) {
        if (violation != null || visited.size >= bounds.maxStates) return
        val cluster = Cluster()
        try {
            path.forEach(cluster::perform)
        } catch (e: IllegalStateException) {
            violation = "${e.message}: $path"
            return
        }
        transitions++
        val remaining = bounds.depth - path.size
        val key = cluster.fingerprint()
        if ((visited[key] ?: -1) >= remaining) return
        visited[key] = remaining
        if (remaining > 0) cluster.actions().forEach { visit(path + it) }
    }

    private enum class Kind { DELIVER, SYNC, TIMEOUT, CRASH, PROPOSE }

    private data class Action(val kind: Kind, val host: Int, val message: String = "")

    private inner class Cluster {
        private val names = List(bounds.hosts) { "n$it" }
        private val oracle = SafetyOracle()
        private val hosts = names.map(::Host)
        private val inFlight = sortedMapOf<String, ConsensusMessage>()
        private var timeouts = 0
        private var crashes = 0
        private var proposals = 0

        fun actions(): List<Action> = buildList {
            inFlight.forEach { (key, message) -> add(Action(Kind.DELIVER, names.indexOf(message.to), key)) }
            hosts.forEachIndexed { number, host ->
                if (host.unsynced.isNotEmpty()) add(Action(Kind.SYNC, number))
                val canTimeOut = timeouts < bounds.timeouts && host.node.role != ConsensusRole.LEADER
                if (canTimeOut) add(Action(Kind.TIMEOUT, number))
                if (crashes < bounds.crashes) add(Action(Kind.CRASH, number))
                val canPropose = proposals < bounds.proposals && host.node.role == ConsensusRole.LEADER
                if (canPropose) add(Action(Kind.PROPOSE, number))
            }
        }

        fun perform(action: Action) {
            val host = hosts[action.host]
            when (action.kind) {
                Kind.DELIVER -> host.step(ConsensusEvent.Receive(checkNotNull(inFlight.remove(action.message))))

                Kind.SYNC -> host.sync()

                Kind.TIMEOUT -> {
                    timeouts++
                    host.step(ConsensusEvent.Tick)
                }

                Kind.CRASH -> {
                    crashes++
                    host.restart()
                }

                Kind.PROPOSE -> {
                    proposals++
                    host.step(ConsensusEvent.Propose(listOf(ReplicatedCommand())))
                }
            }
            oracle.checkLogs(hosts.map { it.node })
        }

        /** Messages in flight imply which ones were delivered, so received votes are not included separately. */
        fun fingerprint(): String =
            "$timeouts $crashes $proposals ${hosts.joinToString { it.fingerprint() }} ${inFlight.keys}"

        private inner class Host(private val name: String) {
            private var disk = SimulatedDisk(DurableState.founding(names))
            private var clockMs = 0L
            private var stateDigest = 1L
            val unsynced = ArrayList<Long>()
            var node = start(disk.crash(0))
                private set

            fun step(event: ConsensusEvent) {
                val wasLeader = node.role == ConsensusRole.LEADER
                // Longer than any election timeout, so that the lease never prevents an election.
                clockMs += 2_500
                val effects = node.step(event, clockMs)
                if (!wasLeader && node.role == ConsensusRole.LEADER) oracle.onLeader(node)
                effects.forEach(::perform)
            }

            fun sync() {
                val id = unsynced.last()
                unsynced.clear()
                disk.sync(id)
                step(ConsensusEvent.Persisted(id))
            }

            fun restart() {
                unsynced.clear()
                stateDigest = 1L
                node = start(disk.crash(0))
            }

            fun fingerprint(): String = with(node) {
                val terms = (1..lastIndex).map { termAt(it) }
                "$role $term $commitIndex $terms ${unsynced.size} ${disk.describe()}"
            }

            private fun start(durable: DurableState) =
                ConsensusNode(ConsensusConfig("explored", name), durable, Random(1), clockMs)

            private fun perform(effect: ConsensusEffect) {
                when (effect) {
                    is ConsensusEffect.Persist -> {
                        disk.write(defect.write(effect))
                        unsynced += effect.id
                    }

                    is ConsensusEffect.Send -> send(defect.send(effect.message))

                    is ConsensusEffect.Apply -> effect.entries.forEach {
                        stateDigest = oracle.onApply(name, stateDigest, it)
                    }

                    else -> Unit
                }
            }

            private fun send(message: ConsensusMessage) {
                if (message.voteRequest?.isPreVote == true) {
                    val reply = ConsensusMessage("explored", message.to, name, node.term)
                    return step(ConsensusEvent.Receive(reply.copy(voteReply = VoteReply(true, true))))
                }
                inFlight[message.toString()] = message
            }
        }
    }
}
