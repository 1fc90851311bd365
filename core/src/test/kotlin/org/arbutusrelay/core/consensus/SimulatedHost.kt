package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.LogEntry
import java.nio.ByteBuffer
import kotlin.random.Random

/** One host of a simulation: a disk that survives, and a replica that runs or is crashed. */
class SimulatedHost(
    val name: String,
    voters: List<String>,
    private val random: Random,
    private val oracle: SafetyOracle,
) {
    var identity = name
        private set
    private var disk = SimulatedDisk(DurableState.founding(voters))
    private val clockRate = 1.0 + random.nextDouble(-0.005, 0.005)
    private var hash = 1L
    private var appliedIndex = 0L
    private var diskCount = 0
    var node: ConsensusNode? = null
        private set

    /** Changes at each start, so that work of an earlier process is dropped. */
    var incarnation = 0
        private set

    fun clockMs(nowMs: Long): Long = (nowMs * clockRate).toLong()

    fun start(nowMs: Long) {
        val durable = disk.crash(survivors = 0)
        restore(durable.snapshot)
        node = ConsensusNode(config(), durable, Random(random.nextLong()), clockMs(nowMs))
        incarnation++
    }

    /** Returns true when unsynced writes were lost. */
    fun crash(): Boolean {
        node = null
        val unsynced = disk.unsyncedCount
        val survivors = random.nextInt(unsynced + 1)
        disk.crash(survivors)
        return survivors < unsynced
    }

    fun loseDisk(isIdentityReused: Boolean) {
        diskCount++
        if (!isIdentityReused) identity = "$name#$diskCount"
        disk = SimulatedDisk(DurableState.founding(emptyList()))
    }

    fun write(persist: ConsensusEffect.Persist) = disk.write(persist)

    fun sync(id: Long) = disk.sync(id)

    fun apply(entries: List<LogEntry>) {
        for (entry in entries) {
            check(entry.index == appliedIndex + 1) { "$identity applies ${entry.index} after $appliedIndex" }
            hash = oracle.onApply(identity, hash, entry)
            appliedIndex = entry.index
        }
    }

    fun restore(snapshot: ConsensusSnapshot) {
        hash = if (snapshot.lastIndex == 0L) 1L else ByteBuffer.wrap(snapshot.state).getLong()
        appliedIndex = snapshot.lastIndex
        oracle.onRestore(identity, appliedIndex, hash)
    }

    /** The state, padded so that its transfer takes several chunks. */
    fun snapshot() = ConsensusEvent.SnapshotTaken(appliedIndex, ByteBuffer.allocate(STATE_BYTES).putLong(hash).array())

    private fun config() = ConsensusConfig(
        group = "simulated",
        self = identity,
        maxBatchEntries = 4,
        maxInFlight = 2,
        snapshotChunkBytes = 64,
        trailingEntries = 5,
        catchUpEntries = 3,
    )

    private companion object {
        const val STATE_BYTES = 200
    }
}
