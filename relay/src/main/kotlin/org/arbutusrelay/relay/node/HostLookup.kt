package org.arbutusrelay.relay.node

import org.arbutusrelay.core.route.RoutePlanParser
import org.arbutusrelay.core.site.DirectoryAnswer
import org.arbutusrelay.core.site.DirectoryQuery
import org.arbutusrelay.core.site.DirectoryScope
import org.arbutusrelay.core.site.EntryHostDirectory
import org.arbutusrelay.core.site.HomeTraffic
import org.arbutusrelay.core.site.NameHomes
import org.arbutusrelay.core.site.NameHomesTable
import org.arbutusrelay.daemon.observe.DirectoryMetrics
import org.arbutusrelay.daemon.observe.EventSink
import org.arbutusrelay.daemon.site.SiteView
import org.arbutusrelay.schema.log.EventLine
import org.arbutusrelay.schema.log.EventLine.Event
import org.arbutusrelay.schema.message.DocumentRecord
import org.arbutusrelay.schema.message.HostState
import java.util.concurrent.ConcurrentHashMap

/**
 * Answers look-ups of callers from the latest view of the site, and records where they are directed.
 *
 * While [isInTouch] is false, the document may be an old one from the disk, with other homes than the one in force, and
 * a region may seem to have no hosts only because they were not heard of; callers are then directed as if there were no
 * document. A line is written when callers of a region that ask for names with the same homes are directed elsewhere
 * than at their previous look-up. Thread-safe.
 */
public class HostLookup(
    private val view: () -> SiteView,
    private val isInTouch: () -> Boolean,
    private val parser: RoutePlanParser,
    private val metrics: DirectoryMetrics,
    private val log: EventSink,
    private val traffic: HomeTraffic,
    private val nowMs: () -> Long,
) {
    private val scopes = ConcurrentHashMap<Pair<String, NameHomes>, DirectoryScope>()

    @Volatile
    private var parsed = ParsedHomes(null, NameHomesTable(null))

    /** Returns the entry hosts for the caller of [query]. */
    public fun lookUp(query: DirectoryQuery): DirectoryAnswer {
        val current = view()
        val document = current.state.document?.takeIf { isInTouch() }
        val homes = if (document == null) NameHomes.Unknown else homesTable(document).find(query.name)
        val answer = EntryHostDirectory.select(current.hosts, query, withTraffic(homes, query.name))
        record(query.region, homes, answer, current)
        return answer
    }

    private fun withTraffic(homes: NameHomes, name: String): NameHomes =
        if (homes is NameHomes.Only) homes.withTraffic(traffic.requests(name, nowMs())) else homes

    /** Parses each document once; concurrent look-ups may both parse a new one, with the same result. */
    private fun homesTable(document: DocumentRecord): NameHomesTable {
        parsed.takeIf { it.document === document }?.let { return it.table }
        val table = parse(document)
        parsed = ParsedHomes(document, table)
        return table
    }

    /** Returns the homes of [document], or those before it if it cannot be read, as entry hosts then go on by them. */
    private fun parse(document: DocumentRecord): NameHomesTable = parser.parse(document.content).fold(
        { error ->
            log.write(EventLine(Event.DOCUMENT_REFUSED, documentNumber = document.number, detail = error.detail))
            parsed.table
        },
        ::NameHomesTable,
    )

    private fun record(region: String, homes: NameHomes, answer: DirectoryAnswer, current: SiteView) {
        val viewAgeMs = (nowMs() - current.builtAtMs).coerceAtLeast(0)
        metrics.countLookup(region, answer, viewAgeMs)
        val label = metrics.labelOf(region)
        // Documents may come with ever new sets of homes.
        if (scopes.size >= MAX_SCOPES) scopes.clear()
        val previous = scopes.put(label to homes, answer.scope)
        if (previous == answer.scope || (isNear(previous) && answer.scope.isNear)) return
        log.write(
            EventLine(
                Event.DIRECTORY_CHANGED,
                region = label,
                directedTo = answer.scope.id,
                documentNumber = current.state.document?.number,
                viewAgeMs = viewAgeMs,
                detail = "${describe(homes)}; ${describe(current.hosts)}",
            ),
        )
    }

    /** Callers of one region with few and with many hosts in their zones take turns, which is no change. */
    private fun isNear(previous: DirectoryScope?) = previous == null || previous.isNear

    private fun describe(homes: NameHomes): String = when (homes) {
        NameHomes.Any -> "names without homes"

        NameHomes.Unknown -> "names that are not known"

        is NameHomes.Only ->
            "names with homes " + homes.routeHomes.map { it.sorted().joinToString(",") }.sorted().joinToString(" | ")
    }

    /** Returns the number of accepting and of leaving entry hosts of each region, such as `hue 2+1`. */
    private fun describe(hosts: List<HostState>): String {
        val byRegion = hosts.filter { it.callerAddress.isNotEmpty() }.groupBy { it.region }.toSortedMap()
        return byRegion.entries.joinToString(" ", "accepting+leaving: ") { (region, inRegion) ->
            "$region ${inRegion.count { !it.isLeaving }}+${inRegion.count { it.isLeaving }}"
        }
    }

    private class ParsedHomes(val document: DocumentRecord?, val table: NameHomesTable)

    private companion object {
        const val MAX_SCOPES = 1_000
    }
}
