package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.LogEntry
import java.nio.ByteBuffer
import kotlin.random.Random

/** Simulated host with a persistent disk and a replica that is running or crashed. */
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
    private var stateDigest = 1L
    private var appliedIndex = 0L
    private var diskCount = 0
    var node: ConsensusNode? = null
        private set

    /** Incremented at each start, so that scheduled work of an earlier process is discarded. */
    var incarnation = 0
        private set

    fun clockMs(nowMs: Long): Long = (nowMs * clockRate).toLong()

    fun start(nowMs: Long) {
        val durable = disk.crash(keptWrites = 0)
        restore(durable.snapshot)
        node = ConsensusNode(config(), durable, Random(random.nextLong()), clockMs(nowMs))
        incarnation++
    }

    /** Returns true when unsynced writes were lost. */
    fun crash(): Boolean {
        node = null
        val unsynced = disk.unsyncedCount
        val keptWrites = random.nextInt(unsynced + 1)
        disk.crash(keptWrites)
        return keptWrites < unsynced
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
            check(entry.index == appliedIndex + 1) { "$identity applies entry ${entry.index} after $appliedIndex" }
            stateDigest = oracle.onApply(identity, stateDigest, entry)
            appliedIndex = entry.index
        }
    }

    fun restore(snapshot: ConsensusSnapshot) {
        stateDigest = if (snapshot.lastIndex == 0L) 1L else ByteBuffer.wrap(snapshot.state).getLong()
        appliedIndex = snapshot.lastIndex
        oracle.onRestore(identity, appliedIndex, stateDigest)
    }

    /** Returns a snapshot padded to several transfer chunks. */
    fun snapshot() =
        ConsensusEvent.SnapshotTaken(appliedIndex, ByteBuffer.allocate(STATE_BYTES).putLong(stateDigest).array())

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
