package org.arbutusrelay.samples

import org.arbutusrelay.standin.load.LoadResult

/** Result of a site run. */
public data class SiteResult(
    /** Number of occurrences of each injected failure. */
    val faults: Map<SiteFault, Long>,
    /** Number of load requests by result. */
    val outcomes: Map<LoadResult, Long>,
    /** Number of errors counted by the daemons, by kind. */
    val errors: Map<String, Long>,
    /** Measured values. */
    val notes: List<String>,
    /** One message for each failed check. */
    val failures: List<String>,
) {
    /** Formats the result as a table. */
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
