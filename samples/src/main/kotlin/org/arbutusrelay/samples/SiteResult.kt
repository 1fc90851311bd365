package org.arbutusrelay.samples

import org.arbutusrelay.standin.load.LoadResult

/** What a site run found. */
public data class SiteResult(
    /** How often each failure happened. */
    val faults: Map<SiteFault, Long>,
    /** How the requests of the load ended. */
    val outcomes: Map<LoadResult, Long>,
    /** Errors that the daemons counted, by kind. */
    val errors: Map<String, Long>,
    /** Measured values. */
    val notes: List<String>,
    /** Checks that failed. */
    val failures: List<String>,
) {
    /** Returns the result as one table. */
    public fun table(): String = buildString {
        faults.forEach { (fault, count) -> row("failure", fault.name.lowercase(), count) }
        outcomes.forEach { (outcome, count) -> row("requests", outcome.name.lowercase(), count) }
        errors.toSortedMap().forEach { (kind, count) -> row("errors", kind, count) }
        notes.forEach { appendLine("note      $it") }
        failures.forEach { appendLine("FAILED    $it") }
        append(if (failures.isEmpty()) "all checks hold" else "${failures.size} checks failed")
    }

    private fun StringBuilder.row(type: String, name: String, count: Long) {
        appendLine(type.padEnd(TYPE_WIDTH) + name.padEnd(NAME_WIDTH) + count.toString().padStart(COUNT_WIDTH))
    }

    private companion object {
        private const val TYPE_WIDTH = 10
        private const val NAME_WIDTH = 28
        private const val COUNT_WIDTH = 8
    }
}
