package org.arbutusrelay.daemon.consensus

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.arbutusrelay.core.consensus.ConsensusConfig
import org.arbutusrelay.core.consensus.ConsensusEffect.Persist
import org.arbutusrelay.core.consensus.ConsensusNode
import org.arbutusrelay.core.consensus.ConsensusSnapshot
import org.arbutusrelay.core.consensus.DurableState
import org.arbutusrelay.core.consensus.StateMachine
import org.arbutusrelay.daemon.link.FrameReceiver
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.daemon.storage.FileConsensusStorage
import org.arbutusrelay.daemon.storage.StoredReplica
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.LogEntry
import org.arbutusrelay.schema.message.ManifestRecord
import org.arbutusrelay.schema.message.ReplicatedCommand
import java.nio.file.Files
import java.nio.file.Path
import kotlin.random.Random
import kotlin.time.measureTime

private const val RUNS = 5
private const val STATE_BYTES = 100_000
private val command = ReplicatedCommand(manifest = ManifestRecord(1, "", "x".repeat(200)))

/** Measures the restart time by number of changes, and the commands per sync by concurrency. */
fun main() {
    val root = Files.createTempDirectory(Path.of("daemon/target"), "measurement")
    try {
        println("cores ${Runtime.getRuntime().availableProcessors()}, runs $RUNS, median (min to max)")
        for (changes in listOf(1_000L, 10_000L, 100_000L)) {
            for (snapshotEntries in listOf(10_000L, Long.MAX_VALUE)) measureRestart(root, changes, snapshotEntries)
        }
        for (concurrency in listOf(1, 8, 64, 512)) measureBatching(root, concurrency)
    } finally {
        root.toFile().deleteRecursively()
    }
}

private fun measureRestart(root: Path, changes: Long, snapshotEntries: Long) {
    val path = root.resolve("restart-$changes-$snapshotEntries")
    FileConsensusStorage(path).use { storage ->
        storage.load()
        storage.create(StoredReplica("a", DurableState.founding(listOf("a"))))
        for (first in 1..changes step 100) {
            val entries = (first until first + 100).map { LogEntry(it, 1, command) }
            val last = entries.last().index
            val isDue = last % snapshotEntries == 0L
            val snapshot = ConsensusSnapshot(last, 1, listOf("a"), ByteArray(STATE_BYTES)).takeIf { isDue }
            check(storage.write(listOf(Persist(last, null, snapshot, null, null, entries))).isRight())
        }
    }
    val times = List(RUNS + 1) {
        measureTime {
            FileConsensusStorage(path).use { storage ->
                val replica = checkNotNull(storage.load().getOrNull())
                ConsensusNode(ConsensusConfig("measured", "a"), replica.state, Random(1), 0)
            }
        }.inWholeMicroseconds / 1_000.0
    }.drop(1)
    val snapshots = if (snapshotEntries == Long.MAX_VALUE) "without snapshots" else "snapshot each $snapshotEntries"
    println("restart after $changes changes, $snapshots: ${medianAndRange(times)} ms")
}

private fun measureBatching(root: Path, concurrency: Int) = runBlocking {
    val results = List(RUNS) { run ->
        val storage = FileConsensusStorage(root.resolve("batch-$concurrency-$run"))
        val group =
            ReplicaGroup("measured", storage, IndexStateMachine(), NoLinks, { setOf("a") }, Random(run), listOf("a"))
        check(group.start().isRight())
        while (!group.isLeaseHeld()) delay(10)
        val syncsBefore = storage.logSyncCount
        val perCoroutine = 2_048 / concurrency
        List(concurrency) { async { repeat(perCoroutine) { check(group.propose(command).isRight()) } } }.awaitAll()
        val syncs = storage.logSyncCount - syncsBefore
        group.stop()
        (perCoroutine * concurrency).toDouble() / syncs
    }
    println("concurrency $concurrency: ${medianAndRange(results)} commands for each sync")
}

private fun medianAndRange(values: List<Double>): String = with(values.sorted()) {
    "%.2f (%.2f to %.2f)".format(get(size / 2), first(), last())
}

private class IndexStateMachine : StateMachine<Long> {
    override fun apply(index: Long, command: ReplicatedCommand) = index

    override fun snapshot() = ByteArray(STATE_BYTES)

    override fun restore(snapshot: ByteArray) = Unit
}

private object NoLinks : LinkNetwork {
    override val self = HostIdentity("a", "hue", "hue-1", 1)

    override fun send(hostName: String, frame: LinkFrame) = false

    override fun connected() = emptyMap<String, HostIdentity>()

    override fun connect(hostName: String, address: String) = Unit

    override fun addReceiver(receiver: FrameReceiver) = Unit
}
