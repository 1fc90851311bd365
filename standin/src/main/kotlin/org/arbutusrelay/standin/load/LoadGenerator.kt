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
 * Generates open-loop load: requests are sent at their scheduled times, independent of earlier responses.
 *
 * Latency is measured from the scheduled arrival. A run ends after the duration of the workload and the last response.
 */
public class LoadGenerator(
    private val workload: LoadWorkload,
    entryHosts: List<String>,
    /** True when a request whose response broke off is retried on the next entry host. */
    isBrokenResponseRetried: Boolean = false,
    /** Called once per request, concurrently from several threads. */
    private val onOutcome: (LoadOutcome) -> Unit = {},
) {
    private val http = OkHttpClient.Builder()
        .connectionPool(ConnectionPool(MAX_REQUESTS_IN_FLIGHT, 1, TimeUnit.MINUTES))
        .connectTimeout(CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .readTimeout(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .retryOnConnectionFailure(false)
        .build()
    private val client = LoadClient(http, EntryHostSelector(http, entryHosts), isBrokenResponseRetried)

    /** Runs the workload and returns its report. */
    public fun run(): LoadReport {
        val report = LoadReport()
        val workers = Executors.newFixedThreadPool(MAX_REQUESTS_IN_FLIGHT) { task ->
            Thread(task, "load").apply { isDaemon = true }
        }
        val startNanos = System.nanoTime()
        arrivals().forEach { arrival ->
            val dueNanos = startNanos + arrival.arrivalMicros * NANOS_PER_MICRO
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

    /** Generates the arrivals of all classes from the seed of the workload, ordered by time. */
    private fun arrivals(): List<Arrival> {
        val random = Random(workload.seed)
        val factory = LoadRequestFactory(random)
        return workload.classes.flatMap { arrivalTimes(it, random).map { arrivalMicros -> arrivalMicros to it } }
            .sortedBy { it.first }
            .take(workload.maxRequests.toInt())
            .map { (arrivalMicros, loadClass) -> Arrival(arrivalMicros, factory.next(loadClass)) }
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

    private class Arrival(val arrivalMicros: Long, val request: LoadRequest)

    private companion object {
        private const val MAX_REQUESTS_IN_FLIGHT = 512
        private const val CONNECT_TIMEOUT_MS = 1_000L
        private const val READ_TIMEOUT_MS = 120_000L
        private const val NANOS_PER_MICRO = 1_000L
        private const val MICROS_PER_MS = 1_000L
        private const val MICROS_PER_THOUSAND_SECONDS = 1_000_000_000.0
    }
}
