package org.arbutusrelay.samples

import org.arbutusrelay.standin.load.LoadReport
import org.arbutusrelay.standin.load.LoadResult
import java.nio.file.Path
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * Runs a complete site under load and injected failures, and checks the responses to callers.
 *
 * Hosts, backend servers and links fail concurrently at random times derived from [seed]; rounds of failures repeat
 * until [durationMs] of load have elapsed.
 */
public class SiteRun(
    sampleFolder: Path,
    private val seed: Long,
    private val durationMs: Long,
    private val maxRequests: Long,
) {
    private val site = Site(Sample(sampleFolder))
    private val random = Random(seed)
    private val plainFaultRegion = site.regions.random(random)
    private val hostFaults = HostFaults(site, Random(random.nextLong()))
    private val manifestFaults = ManifestFaults(site, Random(random.nextLong()))
    private val serverFaults = ServerFaults(site, Random(random.nextLong()), plainFaultRegion)

    /** Runs the site once and returns the result. */
    public fun run(): SiteResult = site.use {
        if (!site.start()) return startFailure()
        val manifestMonitor = ManifestMonitor(site.hosts, site.operator)
        val reports = serverFaults.use { runUnderLoad() }
        manifestMonitor.close()
        manifestMonitor.decreases().forEach { site.record.fail("manifest number decreased on $it") }
        Thread.sleep(LATE_RUN_WINDOW_MS)
        result(reports)
    }

    private fun startFailure() = SiteResult(
        faults = emptyMap(),
        outcomes = emptyMap(),
        errors = site.hosts.errorCounts(),
        notes = site.record.notes(),
        failures = site.record.failures() + "the site did not become ready in time",
    )

    private fun runUnderLoad(): List<LoadReport> {
        val reports = arrayOfNulls<LoadReport>(site.regions.size)
        val requestsPerRegion = maxRequests / site.regions.size
        val loadThreads = site.regions.mapIndexed { index, region ->
            thread { reports[index] = site.loadGenerator(region, seed + index, durationMs, requestsPerRegion).run() }
        }
        val endNanos = System.nanoTime() + durationMs * NANOS_PER_MS
        val faultThreads = listOf(
            startFaultThread(
                "hosts",
                endNanos,
                hostFaults::killStateHost,
                hostFaults::replaceDisk,
                hostFaults::killDisklessHost,
                ::disconnectRegion,
                manifestFaults::publishConflicting,
            ),
            startFaultThread(
                "servers",
                endNanos,
                serverFaults::leaveAndRejoin,
                serverFaults::crashAndRestart,
                serverFaults::slowDown,
                serverFaults::sendCrashingRequest,
            ),
            startFaultThread("stop", 0, hostFaults::stopGracefully),
        )
        (faultThreads + loadThreads).forEach(Thread::join)
        return reports.filterNotNull()
    }

    /** Injects all [faults] in seeded random order, in rounds until [endNanos] is less than a round away. */
    private fun startFaultThread(name: String, endNanos: Long, vararg faults: () -> Unit): Thread {
        val threadRandom = Random(random.nextLong())
        return thread(name = "faults-$name") {
            do {
                faults.toList().shuffled(threadRandom).forEach { fault ->
                    Thread.sleep(threadRandom.nextLong(MAX_FAULT_DELAY_MS))
                    injectFault(fault)
                }
            } while (System.nanoTime() + ROUND_DURATION_MS * NANOS_PER_MS < endNanos)
        }
    }

    // A fault that cannot be injected must fail the run instead of ending its thread silently.
    @Suppress("TooGenericExceptionCaught")
    private fun injectFault(fault: () -> Unit) = try {
        fault()
    } catch (e: RuntimeException) {
        site.record.fail("a failure could not be injected: $e")
    }

    private fun disconnectRegion() = manifestFaults.disconnectRegion((site.regions - plainFaultRegion).random(random))

    private fun result(reports: List<LoadReport>) = SiteResult(
        faults = SiteFault.entries.associateWith(site.record::faultCount),
        outcomes = LoadResult.entries.associateWith { kind -> reports.sumOf { it.total(kind) } },
        errors = site.hosts.errorCounts(),
        notes = site.record.notes() + "${site.network.transferredBytes()} bytes passed between regions",
        failures = SiteChecks(site).failures(),
    )

    private companion object {
        private const val MAX_FAULT_DELAY_MS = 800L
        private const val ROUND_DURATION_MS = 20_000L

        // Allows late runs to show up: a request reported as not run must not run afterwards.
        private const val LATE_RUN_WINDOW_MS = 2_000L
        private const val NANOS_PER_MS = 1_000_000L
    }
}
