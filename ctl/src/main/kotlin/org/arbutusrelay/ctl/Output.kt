package org.arbutusrelay.ctl

import arrow.core.Either
import picocli.CommandLine.Model.CommandSpec

/** Prints a result to standard output or an error to standard error, and returns the exit code. */
internal fun CommandSpec.print(result: Either<String, String>): Int = result.fold(
    {
        commandLine().err.println("${root().name()}: $it")
        ExitCode.FAILED
    },
    {
        commandLine().out.println(it)
        ExitCode.SUCCESS
    },
)

/** Formats [header] and [rows] as a table with aligned columns. */
internal fun table(header: List<String>, rows: List<List<String>>): String {
    val allRows = listOf(header) + rows
    val widths = header.indices.map { column -> allRows.maxOf { it[column].length } }
    return allRows.joinToString("\n") { row ->
        row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd()
    }
}
