package org.arbutusrelay.samples

import org.arbutusrelay.schema.settings.LoadClass
import org.arbutusrelay.standin.load.LoadAttempt
import org.arbutusrelay.standin.load.LoadOutcome
import org.arbutusrelay.standin.load.LoadResult

/** Compares the responses to callers with the requests that the stand-in backend servers ran. */
internal class SiteChecks(private val site: Site) {
    private val outcomes = site.record.outcomes()
    private val plainRuns = runsByRegion { !it.isEngine }
    private val engineRuns = runsByRegion { it.isEngine }

    /** Returns one line for each failed check, with its number of violations and the first few. */
    fun failures(): List<String> = listOf(
        failureLine("non-idempotent bodies ran twice", duplicateRuns()),
        failureLine("callers got no clear answer", outcomes.filterNot(::isConclusive).map(::describe)),
        failureLine("requests answered not_run were run", runsAfterNotRun()),
        failureLine("complete non-idempotent requests did not run once", completeNotRunOnce()),
        failureLine("requests ran outside their allowed regions", runsOutsideRegions()),
        failureLine("guarantees were violated", site.hosts.violations()),
        failureLine(
            "failure kinds did not happen",
            SiteFault.entries.filter { site.record.faultCount(it) == 0L }.map { it.name },
        ),
    ).filterNotNull() + site.record.failures()

    private fun failureLine(title: String, violations: List<String>): String? =
        if (violations.isEmpty()) null else "$title: ${violations.size}; first: ${violations.take(MAX_EXAMPLES)}"

    private fun duplicateRuns(): List<String> =
        nonIdempotent().map { it.body }.distinct().filter { runCount(it) > 1 }.map { "$it ran ${runCount(it)} times" }

    private fun isConclusive(outcome: LoadOutcome): Boolean = when (outcome.result) {
        LoadResult.COMPLETE, LoadResult.LATE, LoadResult.NOT_RUN, LoadResult.UNKNOWN -> true

        // A resent complete request may be refused, but must not get a different response.
        LoadResult.RESEND_DIFFERS -> outcome.attempts.last().result in REFUSED_RESULTS

        LoadResult.WRONG, LoadResult.BROKEN, LoadResult.UNREACHABLE -> false
    }

    private fun runsAfterNotRun(): List<String> {
        val plain = outcomes.filter { it.loadClass.type == LoadClass.Type.PLAIN }
            .filter { outcome ->
                outcome.attempts.all { it.result == LoadResult.NOT_RUN } && runCount(outcome.body) > 0
            }
        val engine = outcomes.filter { it.loadClass.type == LoadClass.Type.CHAT }
            .filter { outcome -> outcome.attempts.any { it.result == LoadResult.NOT_RUN && hasEngineRun(it) } }
        return (plain + engine).map(::describe)
    }

    private fun hasEngineRun(attempt: LoadAttempt): Boolean =
        attempt.requestId != null && engineRuns.values.any { attempt.requestId in it }

    private fun completeNotRunOnce(): List<String> = nonIdempotent()
        .filter { it.result in ANSWERED_RESULTS && runCount(it.body) != 1L }.map(::describe)

    private fun runsOutsideRegions(): List<String> = outcomes.flatMap { outcome ->
        val allowed = site.allowedRegions(outcome.loadClass)
        val ids = outcome.attempts.mapNotNull { it.requestId }
        val ran = plainRuns.filterValues { outcome.body in it }.keys +
            engineRuns.filterValues { runs -> ids.any { it in runs } }.keys
        (ran - allowed).map { "${outcome.loadClass.name} in $it" }
    }

    private fun nonIdempotent(): List<LoadOutcome> = outcomes.filterNot { it.loadClass.isIdempotent }

    private fun runCount(body: String): Long = plainRuns.values.sumOf { it[body] ?: 0 }

    private fun runsByRegion(filter: (SiteBackend) -> Boolean): Map<String, Map<String, Long>> =
        site.backends.servers.filter(filter).groupBy { it.region }.mapValues { (_, servers) ->
            servers.flatMap { it.runCounts().entries }.groupBy({ it.key }, { it.value }).mapValues { it.value.sum() }
        }

    private fun describe(outcome: LoadOutcome): String =
        "${outcome.loadClass.name} ${outcome.result} ${outcome.attempts}"

    private companion object {
        private const val MAX_EXAMPLES = 3
        private val REFUSED_RESULTS = setOf(LoadResult.NOT_RUN, LoadResult.UNKNOWN)
        private val ANSWERED_RESULTS = setOf(LoadResult.COMPLETE, LoadResult.LATE)
    }
}
