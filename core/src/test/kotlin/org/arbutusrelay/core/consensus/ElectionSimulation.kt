package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.ConsensusMessage
import java.util.PriorityQueue
import kotlin.random.Random

/** Delays of an [ElectionSimulation] in milliseconds; each call may return another value. */
class ElectionDelays(
    /** Time that a message takes, or null when it is lost. */
    val linkMs: (from: Int, to: Int, Random) -> Long?,
    /** Time that a sync takes; all writes that wait for the sync before share one. */
    val syncMs: (host: Int, Random) -> Long,
    /** Time by which the process of a host is late when it handles an event at a given time. */
    val processMs: (host: Int, nowMs: Long, Random) -> Long = { _, _, _ -> 0 },
)

/**
 * Five replicas that start within a second after all processes were killed, and elect a leader.
 *
 * The timeouts are those of the state hosts of a site. Links keep the order of messages, as TCP does.
 */
class ElectionSimulation(seed: Long, private val delays: ElectionDelays, private val startWithinMs: Long = 1_000) {
    private val random = Random(seed)
    private val names = List(5) { "n$it" }
    private val hosts = names.indices.map(::Host)
    private val queue = PriorityQueue<Action>(compareBy({ it.atMs }, { it.sequence }))
    private val lastArrivalMs = HashMap<Pair<Int, Int>, Long>()
    private var sequence = 0L
    private var nowMs = 0L

    /** Time of the last start. */
    var startedMs = 0L
        private set

    /** Changes of role with the time, for messages of failed tests. */
    val trace = ArrayList<String>()

    /** Time of the first committed entry of a new term, or null before. */
    var firstCommitMs: Long? = null
        private set

    /** Number of terms since the start, with a leader or without. */
    val terms: Long get() = hosts.maxOf { it.node?.term ?: 0 } - TERM_BEFORE

    /** Runs until the first commit, or until [endMs]. */
    fun run(endMs: Long): ElectionSimulation {
        for (host in hosts) {
            val atMs = random.nextLong(0, startWithinMs)
            startedMs = maxOf(startedMs, atMs)
            schedule(atMs) { host.start() }
        }
        runUntil(endMs) { firstCommitMs != null }
        return this
    }

    /**
     * Ends the process of the leader a while after the first commit, and returns the time to the first commit of
     * another; at most [limitMs], which is also returned when there is no leader.
     */
    fun killLeader(limitMs: Long): Long {
        runUntil(nowMs + SETTLE_MS + random.nextLong(0, 500)) { false }
        val leader = hosts.firstOrNull { it.node?.role == ConsensusRole.LEADER } ?: return limitMs
        leader.stop()
        val killedMs = nowMs
        val committed = hosts.maxOf { it.node?.commitIndex ?: 0 }
        runUntil(killedMs + limitMs) { hosts.any { (it.node?.commitIndex ?: 0) > committed } }
        return nowMs - killedMs
    }

    private fun runUntil(endMs: Long, isDone: () -> Boolean) {
        while (!isDone() && queue.isNotEmpty() && queue.peek().atMs <= endMs) {
            val action = queue.poll()
            nowMs = action.atMs
            action.run()
        }
        if (!isDone()) nowMs = endMs
    }

    private fun schedule(atMs: Long, run: () -> Unit) {
        queue += Action(atMs, sequence++, run)
    }

    private inner class Host(private val number: Int) {
        var node: ConsensusNode? = null
            private set
        private var freeAtMs = 0L
        private var isSyncing = false
        private var lastWriteId = 0L

        fun start() {
            val config = ConsensusConfig(
                group = "site",
                self = names[number],
                heartbeatMs = 120,
                leaseMs = 400,
                electionTimeoutMinMs = 600,
                electionTimeoutMaxMs = 1_200,
                recoveryQuietMs = 5_000,
            )
            val durable = DurableState(
                term = TERM_BEFORE,
                snapshot = ConsensusSnapshot(100, TERM_BEFORE, names, ByteArray(0)),
            )
            node = ConsensusNode(config, durable, Random(random.nextLong()), nowMs)
            tick()
        }

        fun stop() {
            node = null
        }

        private fun tick() {
            handle { step(ConsensusEvent.Tick) }
            schedule(nowMs + TICK_MS, ::tick)
        }

        /** Runs [work] when the process of the host has time for it, in the order of the calls. */
        fun handle(work: () -> Unit) {
            freeAtMs = maxOf(freeAtMs, nowMs + delays.processMs(number, nowMs, random))
            schedule(freeAtMs, work)
        }

        fun step(event: ConsensusEvent) {
            val current = node ?: return
            current.step(event, nowMs).forEach(::perform)
        }

        private fun perform(effect: ConsensusEffect) {
            when (effect) {
                is ConsensusEffect.Persist -> {
                    lastWriteId = effect.id
                    if (!isSyncing) sync()
                }

                is ConsensusEffect.Send -> send(effect.message)

                is ConsensusEffect.Apply -> if (firstCommitMs == null) firstCommitMs = nowMs

                is ConsensusEffect.RoleChange -> trace += "$nowMs ${names[number]} ${effect.role} term ${effect.term}"

                else -> Unit
            }
        }

        private fun sync() {
            isSyncing = true
            val syncedId = lastWriteId
            schedule(nowMs + delays.syncMs(number, random)) {
                isSyncing = false
                if (lastWriteId > syncedId) sync()
                handle { step(ConsensusEvent.Persisted(syncedId)) }
            }
        }

        private fun send(message: ConsensusMessage) {
            val target = names.indexOf(message.to)
            val link = number to target
            val delayMs = delays.linkMs(number, target, random) ?: return
            val arrivalMs = maxOf(lastArrivalMs[link] ?: 0, nowMs + delayMs)
            lastArrivalMs[link] = arrivalMs
            schedule(arrivalMs) {
                if (hosts[target].node !=
                    null
                ) {
                    hosts[target].handle { hosts[target].step(ConsensusEvent.Receive(message)) }
                }
            }
        }
    }

    private class Action(val atMs: Long, val sequence: Long, val run: () -> Unit)

    private companion object {
        const val TERM_BEFORE = 8L
        const val TICK_MS = 25L
        const val SETTLE_MS = 2_000L
    }
}
