package org.arbutusrelay.ctl

import arrow.core.Either
import picocli.CommandLine.Model.CommandSpec

/** Prints a result to the output or an error to the error output, and returns the exit code. */
internal fun CommandSpec.print(result: Either<String, String>): Int = result.fold(
    {
        commandLine().err.println("${root().name()}: $it")
        ExitCode.FAILED
    },
    {
        commandLine().out.println(it)
        ExitCode.DONE
    },
)

/** Returns [rows] below [header] in aligned columns. */
internal fun table(header: List<String>, rows: List<List<String>>): String {
    val all = listOf(header) + rows
    val widths = header.indices.map { column -> all.maxOf { it[column].length } }
    return all.joinToString("\n") { row ->
        row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd()
    }
}
