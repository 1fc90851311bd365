package org.arbutusrelay.standin.load

import okhttp3.ConnectionPool
import okhttp3.OkHttpClient
import org.arbutusrelay.schema.settings.LoadClass
import org.arbutusrelay.schema.settings.LoadWorkload
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.math.ln
import kotlin.random.Random

/**
 * Sends an open-loop workload: requests arrive at their times whether or not earlier ones were answered.
 *
 * Latency counts from the intended arrival. The run ends by itself after the workload's duration and the last response.
 */
public class LoadGenerator(
    private val workload: LoadWorkload,
    entryHosts: List<String>,
    /** True when a response that broke off is requested again from the next entry host. */
    isBrokenResponseRetried: Boolean = false,
    /** Called once for each request, from several threads. */
    private val onOutcome: (LoadOutcome) -> Unit = {},
) {
    private val http = OkHttpClient.Builder()
        .connectionPool(ConnectionPool(MAX_IN_FLIGHT, 1, TimeUnit.MINUTES))
        .connectTimeout(CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .readTimeout(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .retryOnConnectionFailure(false)
        .build()
    private val client = LoadClient(http, EntryHostChooser(http, entryHosts), isBrokenResponseRetried)

    /** Runs the workload and returns its report. */
    public fun run(): LoadReport {
        val report = LoadReport()
        val workers = Executors.newFixedThreadPool(MAX_IN_FLIGHT) { task ->
            Thread(task, "load").apply { isDaemon = true }
        }
        val startNanos = System.nanoTime()
        arrivals().forEach { arrival ->
            val dueNanos = startNanos + arrival.atMicros * NANOS_PER_MICRO
            sleepUntil(dueNanos)
            workers.execute { send(arrival.request, dueNanos, report) }
        }
        workers.shutdown()
        workers.awaitTermination(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        http.connectionPool.evictAll()
        http.dispatcher.executorService.shutdown()
        return report
    }

    private fun send(request: LoadRequest, dueNanos: Long, report: LoadReport) {
        val outcome = client.send(request)
        onOutcome(outcome)
        val result = outcome.result
        val latencyMicros = (System.nanoTime() - dueNanos) / NANOS_PER_MICRO
        val isLate = latencyMicros > request.loadClass.waitMs * MICROS_PER_MS
        report.record(
            request.loadClass.name,
            if (isLate &&
                result == LoadResult.COMPLETE
            ) {
                LoadResult.LATE
            } else {
                result
            },
            latencyMicros,
        )
    }

    /** Draws the arrivals of all classes from the workload's seed, in the order of time. */
    private fun arrivals(): List<Arrival> {
        val random = Random(workload.seed)
        val factory = LoadRequestFactory(random)
        return workload.classes.flatMap { arrivalTimes(it, random).map { at -> at to it } }
            .sortedBy { it.first }
            .take(workload.maxRequests.toInt())
            .map { (at, loadClass) -> Arrival(at, factory.next(loadClass)) }
    }

    private fun arrivalTimes(loadClass: LoadClass, random: Random): List<Long> {
        val meanMicros = MICROS_PER_THOUSAND_SECONDS / loadClass.requestsPerThousandSeconds
        return generateSequence(0.0) { it - meanMicros * ln(1.0 - random.nextDouble()) }
            .drop(1)
            .takeWhile { it < workload.durationMs * MICROS_PER_MS }
            .map(Double::toLong)
            .toList()
    }

    private fun sleepUntil(dueNanos: Long) {
        val waitNanos = dueNanos - System.nanoTime()
        if (waitNanos > 0) TimeUnit.NANOSECONDS.sleep(waitNanos)
    }

    private class Arrival(val atMicros: Long, val request: LoadRequest)

    private companion object {
        private const val MAX_IN_FLIGHT = 512
        private const val CONNECT_TIMEOUT_MS = 1_000L
        private const val READ_TIMEOUT_MS = 120_000L
        private const val NANOS_PER_MICRO = 1_000L
        private const val MICROS_PER_MS = 1_000L
        private const val MICROS_PER_THOUSAND_SECONDS = 1_000_000_000.0
    }
}
