package org.arbutusrelay.samples

import org.arbutusrelay.standin.load.LoadReport
import org.arbutusrelay.standin.load.LoadResult
import java.nio.file.Path
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * Runs a whole site under load and failures, and checks what callers got.
 *
 * Hosts, backend servers and links fail side by side at times drawn from [seed]; the rounds of failures repeat until
 * [durationMs] of load have passed.
 */
public class SiteRun(
    sampleFolder: Path,
    private val seed: Long,
    private val durationMs: Long,
    private val maxRequests: Long,
) {
    private val site = Site(Sample(sampleFolder))
    private val random = Random(seed)
    private val plainRegion = site.regions.random(random)
    private val hostFaults = HostFaults(site, Random(random.nextLong()))
    private val manifestFaults = ManifestFaults(site, Random(random.nextLong()))
    private val serverFaults = ServerFaults(site, Random(random.nextLong()), plainRegion)

    /** Runs once and returns the result. */
    public fun run(): SiteResult = site.use {
        if (!site.start()) return notStarted()
        val watch = ManifestWatch(site.hosts, site.operator)
        val reports = serverFaults.use { runUnderLoad() }
        watch.close()
        watch.decreases().forEach { site.record.fail("manifest number decreased on $it") }
        Thread.sleep(SETTLE_MS)
        result(reports)
    }

    private fun notStarted() = SiteResult(
        faults = emptyMap(),
        outcomes = emptyMap(),
        errors = site.hosts.errorCounts(),
        notes = site.record.notes(),
        failures = site.record.problems() + "the site did not serve in time",
    )

    private fun runUnderLoad(): List<LoadReport> {
        val reports = arrayOfNulls<LoadReport>(site.regions.size)
        val share = maxRequests / site.regions.size
        val loads = site.regions.mapIndexed { index, region ->
            thread { reports[index] = site.load(region, seed + index, durationMs, share).run() }
        }
        val endNanos = System.nanoTime() + durationMs * NANOS_PER_MS
        val lanes = listOf(
            lane(
                "hosts",
                endNanos,
                hostFaults::endStateHost,
                hostFaults::loseDisk,
                hostFaults::endDisklessHost,
                ::cut,
                manifestFaults::race,
            ),
            lane(
                "servers",
                endNanos,
                serverFaults::leave,
                serverFaults::crash,
                serverFaults::slowDown,
                serverFaults::sendCrashingRequest,
            ),
            lane("stop", 0, hostFaults::stopGracefully),
        )
        (lanes + loads).forEach(Thread::join)
        return reports.filterNotNull()
    }

    /** Runs all [faults] in a seeded order, and again until [endNanos] is less than a round away. */
    private fun lane(name: String, endNanos: Long, vararg faults: () -> Unit): Thread {
        val laneRandom = Random(random.nextLong())
        return thread(name = "faults-$name") {
            do {
                faults.toList().shuffled(laneRandom).forEach { fault ->
                    Thread.sleep(laneRandom.nextLong(MAX_GAP_MS))
                    runFault(fault)
                }
            } while (System.nanoTime() + ROUND_MS * NANOS_PER_MS < endNanos)
        }
    }

    // A fault that cannot be carried out must fail the run and not end its thread silently.
    @Suppress("TooGenericExceptionCaught")
    private fun runFault(fault: () -> Unit) = try {
        fault()
    } catch (e: RuntimeException) {
        site.record.fail("a failure could not be injected: $e")
    }

    private fun cut() = manifestFaults.cut((site.regions - plainRegion).random(random))

    private fun result(reports: List<LoadReport>) = SiteResult(
        faults = SiteFault.entries.associateWith(site.record::faults),
        outcomes = LoadResult.entries.associateWith { kind -> reports.sumOf { it.total(kind) } },
        errors = site.hosts.errorCounts(),
        notes = site.record.notes() + "${site.ports.passedBytes()} bytes passed between regions",
        failures = SiteChecks(site).failures(),
    )

    private companion object {
        private const val MAX_GAP_MS = 800L
        private const val ROUND_MS = 20_000L

        // A request that was reported as not run must not run later either.
        private const val SETTLE_MS = 2_000L
        private const val NANOS_PER_MS = 1_000_000L
    }
}
