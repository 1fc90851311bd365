package org.arbutusrelay.core.routing

/** Compares hosts that share limits with hosts that read none, and with hosts that each take a limit for its own. */
internal object LimitMeasurement {
    private class Way(val title: String, val isObserved: Boolean, val isShared: Boolean)

    private class Case(val title: String, val servers: List<String>, val limited: Set<String>)

    /** Prints one row for each case, number of hosts, limit and way. */
    fun run(hostCounts: List<Int>, limitsPerS: List<Int>) {
        println(HEADER)
        for (case in CASES) hostCounts.forEach { hosts -> printRows(case, hosts, limitsPerS) }
    }

    private fun printRows(case: Case, hosts: Int, limitsPerS: List<Int>) {
        for (limit in limitsPerS) WAYS.forEach { println(row(case, hosts, limit, it)) }
    }

    private fun row(case: Case, hosts: Int, limitPerS: Int, way: Way): String {
        val site = LimitedSite(
            hosts,
            limitPerS * PERMILLE,
            serverNames = case.servers,
            requestIntervalMs = hosts * MS_PER_SECOND / REQUESTS_PER_S,
            limitedNames = case.limited,
            isObserved = way.isObserved,
            isShared = way.isShared,
        ).run(END_MS)
        val most = site.mostIn(WINDOW_MS, COUNTED_FROM_MS)
        val allowed = (limitPerS * WINDOW_MS * MAX_FACTOR / MS_PER_SECOND + SLACK).toInt()
        val counted = site.arrivals.count { it.atMs >= COUNTED_FROM_MS }
        val taken = limitPerS * (END_MS - COUNTED_FROM_MS) / MS_PER_SECOND * case.limited.size
        fun percent(count: Int) = "%.1f".format(PERCENT * count / site.submitted)
        return listOf(
            case.title, "$hosts", "$limitPerS", way.title, "$most", "$allowed", "$counted", "$taken",
            percent(site.inTime), percent(site.late), percent(site.refused),
        ).joinToString(" | ", "| ", " |")
    }

    private val CASES = listOf(
        Case("one of four", listOf("a", "b", "c", "d"), setOf("a")),
        Case("three of four", listOf("a", "b", "c", "d"), setOf("a", "b", "c")),
        Case("all four", listOf("a", "b", "c", "d"), setOf("a", "b", "c", "d")),
    )
    private val WAYS = listOf(
        Way("ignored", isObserved = false, isShared = true),
        Way("each host alone", isObserved = true, isShared = false),
        Way("shared", isObserved = true, isShared = true),
    )

    /** Requests a second to all hosts together, of which each of four servers gets a quarter without limits. */
    private const val REQUESTS_PER_S = 180L
    private const val PERMILLE = 1_000L
    private const val MS_PER_SECOND = 1_000L
    private const val END_MS = 31_000L
    private const val WINDOW_MS = 4_000L
    private const val COUNTED_FROM_MS = LimitedSite.LIMIT_AT_MS + 5_000
    private const val MAX_FACTOR = 1.5
    private const val SLACK = 5
    private const val PERCENT = 100.0
    private const val HEADER =
        "| limited | hosts | limit a second | way | most in 4 s | allowed | sent in 25 s | taken " +
            "| in time % | late % | refused % |\n|---|---|---|---|---|---|---|---|---|---|---|"
}

/** Runs the measurement; arguments: numbers of hosts and limits a second, lists with commas. */
internal fun main(args: Array<String>) {
    require(args.size == 2) { "usage: HOSTS,... LIMIT,..." }
    val (hosts, limits) = args.map { list -> list.split(',').map(String::toInt) }
    LimitMeasurement.run(hosts, limits)
}
