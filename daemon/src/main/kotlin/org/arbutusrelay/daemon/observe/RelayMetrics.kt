package org.arbutusrelay.daemon.observe

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.Outcome
import org.arbutusrelay.core.invariant.Guarantee
import org.arbutusrelay.core.relay.ResponseDefect
import org.arbutusrelay.core.route.RouteKind
import org.arbutusrelay.daemon.backend.DropReason
import org.arbutusrelay.schema.log.EventLine.Event
import java.time.Duration
import java.util.concurrent.TimeUnit

/** Metrics of the daemon; every counter and timer exists from startup, so that rates include the first event. */
public class RelayMetrics(
    private val registry: PrometheusMeterRegistry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT),
) : EventCounters {
    private val errors = ErrorKind.entries.map { counter("arbutus.errors", "kind", it.id) }
    private val requests = Outcome.entries.map { counter("arbutus.requests", "outcome", it.id) }
    private val violations = Guarantee.entries.map { counter("arbutus.guarantee.violations", "guarantee", it.id) }
    private val responseDrops = DropReason.entries.map { counter("arbutus.responses.dropped", "reason", it.id) }
    private val responseDefects = ResponseDefect.entries.map { counter("arbutus.responses.defects", "kind", it.id) }
    private val stageTimers = Stage.entries.map(::stageTimer)
    private val retries = counter("arbutus.attempts", "type", "retry")
    private val hedges = counter("arbutus.attempts", "type", "hedge")
    private val forwards = counter("arbutus.attempts", "type", "forward")
    private val events = Event.entries.map { counter("arbutus.events", "event", it.name.lowercase()) }
    private val lineDrops = LineDrop.entries.map { counter("arbutus.log.lines.dropped", "reason", it.id) }
    private val responseTimers = RouteKind.entries.map(::responseTimer)

    /** Counts a request that ended with an error of [kind]. */
    public fun countError(kind: ErrorKind): Unit = errors[kind.ordinal].increment()

    /** Counts a request that ended with [outcome]. */
    public fun countOutcome(outcome: Outcome): Unit = requests[outcome.ordinal].increment()

    /** Counts a violation of [guarantee]. */
    public fun countViolation(guarantee: Guarantee): Unit = violations[guarantee.ordinal].increment()

    /** Counts a response part that was dropped. */
    public fun countResponseDrop(reason: DropReason): Unit = responseDrops[reason.ordinal].increment()

    /** Counts a part of a response that does not belong to it. */
    public fun countResponseDefect(defect: ResponseDefect): Unit = responseDefects[defect.ordinal].increment()

    /** Counts a second or later attempt. */
    public fun countRetry(): Unit = retries.increment()

    /** Counts a hedged attempt. */
    public fun countHedge(): Unit = hedges.increment()

    /** Counts a request that was forwarded to another region. */
    public fun countForward(): Unit = forwards.increment()

    override fun count(event: Event): Unit = events[event.ordinal].increment()

    override fun countLineDrop(reason: LineDrop): Unit = lineDrops[reason.ordinal].increment()

    /** Records the time from the arrival of a request on a route of [kind] to the end of its response. */
    public fun recordResponse(kind: RouteKind, durationMs: Long): Unit =
        responseTimers[kind.ordinal].record(durationMs, TimeUnit.MILLISECONDS)

    /** Records the duration of a stage, in milliseconds. */
    public fun recordStage(stage: Stage, durationMs: Long): Unit =
        stageTimers[stage.ordinal].record(durationMs, TimeUnit.MILLISECONDS)

    /** Registers a gauge that reads [value] when metrics are scraped. */
    public fun gauge(name: String, value: () -> Number) {
        Gauge.builder(name, value).register(registry)
    }

    /** Registers the metrics of the directory of a site with [regions]. */
    public fun directory(regions: Set<String>): DirectoryMetrics = DirectoryMetrics(registry, regions)

    /** Metrics of the quotas of tenants. */
    public val quotas: QuotaMetrics = QuotaMetrics(registry)

    /** Returns the number of requests that ended with an error of [kind]. */
    public fun errorCount(kind: ErrorKind): Long = errors[kind.ordinal].count().toLong()

    /** Returns the number of response parts that were dropped for [reason]. */
    public fun responseDropCount(reason: DropReason): Long = responseDrops[reason.ordinal].count().toLong()

    /** Returns the number of log lines that were not written for [reason]. */
    public fun lineDropCount(reason: LineDrop): Long = lineDrops[reason.ordinal].count().toLong()

    /** Returns all metrics in the Prometheus text format. */
    public fun scrape(): String = registry.scrape()

    private fun counter(name: String, tag: String, value: String): Counter =
        Counter.builder(name).tag(tag, value).register(registry)

    private fun responseTimer(kind: RouteKind): Timer = Timer.builder("arbutus.response")
        .tag("kind", kind.name.lowercase())
        .serviceLevelObjectives(*RESPONSE_BUCKET_BOUNDS_MS.map(Duration::ofMillis).toTypedArray())
        .register(registry)

    private fun stageTimer(stage: Stage): Timer =
        Timer.builder("arbutus.stage").tag("stage", stage.id).publishPercentileHistogram().register(registry)

    public companion object {
        /** Content type of [scrape]. */
        public const val CONTENT_TYPE: String = "text/plain; version=0.0.4; charset=utf-8"

        /** Histogram bucket bounds; the latency objectives of the routes in use lie between 200 ms and 10 s. */
        private val RESPONSE_BUCKET_BOUNDS_MS = listOf<Long>(50, 100, 200, 400, 800, 1_200, 2_000, 4_000, 8_000, 15_000)
    }
}

/** The stages of a request whose durations are recorded. */
public enum class Stage {
    /** From acceptance to placement on a backend server or region. */
    QUEUE,

    /** From the grant request to the ledger's decision. */
    GRANT,

    /** From placement to the first byte of the response. */
    FIRST_BYTE,

    /** From acceptance to the end of the response. */
    TOTAL,
    ;

    /** Name in metrics, such as `first_byte`. */
    public val id: String = name.lowercase()
}
