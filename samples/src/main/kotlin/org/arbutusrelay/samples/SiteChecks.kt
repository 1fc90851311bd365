package org.arbutusrelay.samples

import org.arbutusrelay.schema.settings.LoadClass
import org.arbutusrelay.standin.load.LoadAttempt
import org.arbutusrelay.standin.load.LoadOutcome
import org.arbutusrelay.standin.load.LoadResult

/** Compares what callers were told with what the stand-in backend servers ran. */
internal class SiteChecks(private val site: Site) {
    private val outcomes = site.record.outcomes()
    private val plainRuns = runsByRegion { !it.isEngine }
    private val engineRuns = runsByRegion { it.isEngine }

    /** Returns one line for each check that failed, with its first offender. */
    fun failures(): List<String> = listOf(
        line("non-idempotent bodies ran twice", repeated()),
        line("callers got no clear answer", outcomes.filterNot(::isClear).map(::describe)),
        line("requests answered not_run were run", dishonest()),
        line("complete non-idempotent requests did not run once", completeWithoutRun()),
        line("requests ran outside their allowed regions", outsideRegions()),
        line("guarantees were violated", site.hosts.violations()),
        line("failure kinds did not happen", SiteFault.entries.filter { site.record.faults(it) == 0L }.map { it.name }),
    ).filterNotNull() + site.record.problems()

    private fun line(title: String, found: List<String>): String? =
        if (found.isEmpty()) null else "$title: ${found.size}; first: ${found.take(SHOWN)}"

    private fun repeated(): List<String> =
        nonIdempotent().map { it.body }.distinct().filter { runs(it) > 1 }.map { "$it ran ${runs(it)} times" }

    private fun isClear(outcome: LoadOutcome): Boolean = when (outcome.result) {
        LoadResult.COMPLETE, LoadResult.LATE, LoadResult.NOT_RUN, LoadResult.UNKNOWN -> true

        // The second sending of a complete request may be refused, but not answered otherwise.
        LoadResult.RESEND_DIFFERS -> outcome.attempts.last().result in REFUSALS

        LoadResult.WRONG, LoadResult.BROKEN, LoadResult.UNREACHABLE -> false
    }

    private fun dishonest(): List<String> {
        val plain = outcomes.filter { it.loadClass.type == LoadClass.Type.PLAIN }
            .filter { outcome -> outcome.attempts.all { it.result == LoadResult.NOT_RUN } && runs(outcome.body) > 0 }
        val engine = outcomes.filter { it.loadClass.type == LoadClass.Type.CHAT }
            .filter { outcome -> outcome.attempts.any { it.result == LoadResult.NOT_RUN && isRunByEngine(it) } }
        return (plain + engine).map(::describe)
    }

    private fun isRunByEngine(attempt: LoadAttempt): Boolean =
        attempt.requestId != null && engineRuns.values.any { attempt.requestId in it }

    private fun completeWithoutRun(): List<String> = nonIdempotent()
        .filter { it.result in ANSWERED && runs(it.body) != 1L }.map(::describe)

    private fun outsideRegions(): List<String> = outcomes.flatMap { outcome ->
        val allowed = site.allowedRegions(outcome.loadClass)
        val ids = outcome.attempts.mapNotNull { it.requestId }
        val ran = plainRuns.filterValues { outcome.body in it }.keys +
            engineRuns.filterValues { runs -> ids.any { it in runs } }.keys
        (ran - allowed).map { "${outcome.loadClass.name} in $it" }
    }

    private fun nonIdempotent(): List<LoadOutcome> = outcomes.filterNot { it.loadClass.isIdempotent }

    private fun runs(body: String): Long = plainRuns.values.sumOf { it[body] ?: 0 }

    private fun runsByRegion(filter: (SiteBackend) -> Boolean): Map<String, Map<String, Long>> =
        site.backends.servers.filter(filter).groupBy { it.region }.mapValues { (_, servers) ->
            servers.flatMap { it.runCounts().entries }.groupBy({ it.key }, { it.value }).mapValues { it.value.sum() }
        }

    private fun describe(outcome: LoadOutcome): String =
        "${outcome.loadClass.name} ${outcome.result} ${outcome.attempts}"

    private companion object {
        private const val SHOWN = 3
        private val REFUSALS = setOf(LoadResult.NOT_RUN, LoadResult.UNKNOWN)
        private val ANSWERED = setOf(LoadResult.COMPLETE, LoadResult.LATE)
    }
}
