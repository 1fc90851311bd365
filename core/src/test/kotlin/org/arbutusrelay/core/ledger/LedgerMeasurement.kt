package org.arbutusrelay.core.ledger

import org.arbutusrelay.schema.message.Attempt
import org.arbutusrelay.schema.message.LedgerCommand
import org.arbutusrelay.schema.message.LedgerEntry
import org.arbutusrelay.schema.message.LedgerFinish
import org.arbutusrelay.schema.message.LedgerGrant
import org.arbutusrelay.schema.message.LedgerKey
import org.arbutusrelay.schema.message.ReplicatedCommand
import org.arbutusrelay.schema.message.StoredResponse
import kotlin.random.Random
import kotlin.test.Test

/** Measures memory per entry and command rate by ledger size. Run by `bin/measure-ledger`, not by the build. */
class LedgerMeasurement {
    private class Sample(val bytesPerEntry: Double, val commandsPerSecond: Double)

    @Test
    fun measure() {
        println("seed $SEED, processors visible to the JVM ${Runtime.getRuntime().availableProcessors()}, one thread")
        println("baseline: java.util.HashMap with the same entries, put and replaced")
        listOf(10_000 to 9, 100_000 to 7, 1_000_000 to 5).forEach { (size, runs) ->
            ledger(size)
            baseline(size)
            val pairs = List(runs) { ledger(size) to baseline(size) }
            report(size, runs, "ledger", pairs.map { it.first })
            report(size, runs, "baseline", pairs.map { it.second })
        }
    }

    private fun report(size: Int, runs: Int, name: String, samples: List<Sample>) {
        val bytes = samples.map { it.bytesPerEntry }.sorted()
        val rate = samples.map { it.commandsPerSecond }.sorted()
        val memory = "%.0f B an entry (%.0f..%.0f)".format(bytes[runs / 2], bytes.first(), bytes.last())
        val speed = "%.0f commands/s (%.0f..%.0f)".format(rate[runs / 2], rate.first(), rate.last())
        println("$size entries, $runs runs, $name: $memory, $speed")
    }

    private fun ledger(size: Int): Sample {
        val machine = LedgerStateMachine()
        return sample(size) { grant, finish ->
            machine.apply(1, ReplicatedCommand(ledger = LedgerCommand(0, grant = grant)))
            machine.apply(2, ReplicatedCommand(ledger = LedgerCommand(0, finish = finish)))
            machine
        }
    }

    private fun baseline(size: Int): Sample {
        val map = HashMap<LedgerKey, LedgerEntry>()
        return sample(size) { grant, finish ->
            val entry = LedgerEntry(grant.key, grant.attempt, grant.bodyDigest, LedgerEntry.Status.GRANTED, 0, 0)
            map[grant.key] = entry
            map[grant.key] = entry.copy(status = LedgerEntry.Status.FINISHED, response = finish.response)
            map
        }
    }

    /** Adds [size] entries, then measures the time of the commands for [TIMED_ENTRIES] more. */
    private fun sample(size: Int, apply: (LedgerGrant, LedgerFinish) -> Any): Sample {
        val random = Random(SEED)
        val before = usedBytes()
        var retained: Any = Unit
        fun nextCommands() = run {
            val key = LedgerKey(CALLERS[random.nextInt(CALLERS.size)], random.nextLong().toString(16))
            val attempt = Attempt(HOSTS[random.nextInt(HOSTS.size)], 7, random.nextLong(Long.MAX_VALUE))
            val response = StoredResponse(200, "application/json", ByteArray(BODY_BYTES))
            LedgerGrant(key, attempt, "%016x".format(random.nextLong()), 1_000) to LedgerFinish(key, attempt, response)
        }
        repeat(size) { nextCommands().let { (grant, finish) -> retained = apply(grant, finish) } }
        val bytes = (usedBytes() - before).toDouble() / size
        val batch = List(TIMED_ENTRIES) { nextCommands() }
        val start = System.nanoTime()
        batch.forEach { (grant, finish) -> retained = apply(grant, finish) }
        val seconds = (System.nanoTime() - start) / 1e9
        check(retained !== Unit)
        return Sample(bytes, 2 * TIMED_ENTRIES / seconds)
    }

    private fun usedBytes(): Long {
        repeat(2) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }

    private companion object {
        private const val SEED = 11
        private const val TIMED_ENTRIES = 10_000
        private const val BODY_BYTES = 64
        private val CALLERS = List(2_000) { "caller-$it" }
        private val HOSTS = List(100) { "host-$it" }
    }
}
