package org.arbutusrelay.relay.node

import org.arbutusrelay.core.site.DirectoryAnswer
import org.arbutusrelay.core.site.DirectoryScope
import org.arbutusrelay.core.site.EntryHostDirectory
import org.arbutusrelay.daemon.observe.DirectoryMetrics
import org.arbutusrelay.daemon.observe.EventSink
import org.arbutusrelay.daemon.site.SiteView
import org.arbutusrelay.schema.log.EventLine
import org.arbutusrelay.schema.log.EventLine.Event
import org.arbutusrelay.schema.message.HostState
import java.util.concurrent.ConcurrentHashMap

/**
 * Answers look-ups of callers from the latest view of the site, and records where they are directed.
 *
 * A line is written when callers of a region are directed elsewhere than at their previous look-up. Thread-safe.
 */
public class HostLookup(
    private val view: () -> SiteView,
    private val metrics: DirectoryMetrics,
    private val log: EventSink,
    private val nowMs: () -> Long,
) {
    private val scopes = ConcurrentHashMap<String, DirectoryScope>()

    /** Returns the entry hosts for a caller of [region] and [availabilityZone]. */
    public fun lookUp(region: String, availabilityZone: String): DirectoryAnswer {
        val current = view()
        val answer = EntryHostDirectory.select(current.entryHosts, region, availabilityZone)
        record(region, answer, current)
        return answer
    }

    private fun record(region: String, answer: DirectoryAnswer, current: SiteView) {
        val viewAgeMs = (nowMs() - current.builtAtMs).coerceAtLeast(0)
        metrics.countLookup(region, answer, viewAgeMs)
        val label = metrics.labelOf(region)
        val previous = scopes.put(label, answer.scope)
        if (previous == answer.scope || (isNear(previous) && answer.scope.isNear)) return
        log.write(
            EventLine(
                Event.DIRECTORY_CHANGED,
                region = label,
                directedTo = answer.scope.id,
                documentNumber = current.state.document?.number,
                viewAgeMs = viewAgeMs,
                detail = describe(current.hosts),
            ),
        )
    }

    /** Callers of one region with few and with many hosts in their zones take turns, which is no change. */
    private fun isNear(previous: DirectoryScope?) = previous == null || previous.isNear

    /** Returns the number of accepting and of leaving entry hosts of each region, such as `hue 2+1`. */
    private fun describe(hosts: List<HostState>): String {
        val byRegion = hosts.filter { it.callerAddress.isNotEmpty() }.groupBy { it.region }.toSortedMap()
        return byRegion.entries.joinToString(" ", "accepting+leaving: ") { (region, inRegion) ->
            "$region ${inRegion.count { !it.isLeaving }}+${inRegion.count { it.isLeaving }}"
        }
    }
}
