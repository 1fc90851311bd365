package org.arbutusrelay.daemon.observe

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.arbutusrelay.core.site.DirectoryAnswer
import org.arbutusrelay.core.site.DirectoryScope
import java.time.Duration
import java.util.concurrent.TimeUnit

/**
 * Metrics of the directory of entry hosts.
 *
 * Region names come from callers, so those that are not in [regions] are counted together as [UNKNOWN_REGION].
 */
public class DirectoryMetrics internal constructor(registry: MeterRegistry, private val regions: Set<String>) {
    private val lookups = labels().associateWith { region ->
        DirectoryScope.entries.map {
            Counter.builder("arbutus.directory.lookups").tag("region", region).tag("scope", it.id).register(registry)
        }
    }
    private val addresses = labels().associateWith {
        Counter.builder("arbutus.directory.addresses").tag("region", it).register(registry)
    }
    private val viewAge = Timer.builder("arbutus.directory.view.age")
        .serviceLevelObjectives(*VIEW_AGE_BOUNDS_MS.map(Duration::ofMillis).toTypedArray())
        .register(registry)

    /** Returns [region] if the site has it, or [UNKNOWN_REGION]. */
    public fun labelOf(region: String): String = if (region in regions) region else UNKNOWN_REGION

    /** Counts the look-up of a caller of [callerRegion], answered from a view of the age [viewAgeMs]. */
    public fun countLookup(callerRegion: String, answer: DirectoryAnswer, viewAgeMs: Long) {
        lookups.getValue(labelOf(callerRegion))[answer.scope.ordinal].increment()
        answer.hosts.groupingBy { labelOf(it.region) }.eachCount().forEach { (label, count) ->
            addresses.getValue(label).increment(count.toDouble())
        }
        viewAge.record(viewAgeMs, TimeUnit.MILLISECONDS)
    }

    private fun labels() = regions + UNKNOWN_REGION

    public companion object {
        /** Label of regions that the site does not have. */
        public const val UNKNOWN_REGION: String = "unknown"

        /** A view is built at least every 450 ms; a report counts for 3.5 s. */
        private val VIEW_AGE_BOUNDS_MS = listOf<Long>(50, 200, 500, 1_000, 3_500)
    }
}
