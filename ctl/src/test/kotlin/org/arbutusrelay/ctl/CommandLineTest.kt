package org.arbutusrelay.ctl

import java.io.PrintWriter
import java.io.StringWriter
import java.nio.file.Files
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class CommandLineTest {
    /** Guards against undocumented exit codes, which break scripts, and against lost or duplicate demo requests. */
    @Test
    fun `commands exit with their documented exit codes`() {
        val manifest = Files.createTempFile("manifest", ".toml")
        Files.writeString(manifest, "number = 1\nregions = 3\n")
        val corruptLog = Files.createTempFile("corrupt", ".log")
        Files.write(corruptLog, byteArrayOf('{'.code.toByte(), 0xC3.toByte(), 0x28, '\n'.code.toByte()))
        data class Case(val exitCode: Int, val output: String, val arguments: List<String>)
        val cases = listOf(
            Case(ExitCode.USAGE, "Unknown option", listOf("hosts", "--no-such-option")),
            Case(ExitCode.USAGE, ":2: regions: expected an array", listOf("manifest", "check", manifest.toString())),
            Case(ExitCode.USAGE, "cannot be read", listOf("manifest", "check", "no-such-file.toml")),
            Case(ExitCode.USAGE, "cannot be read", listOf("explain", "r", "no-such-file.log")),
            Case(ExitCode.FAILED, "1 lines cannot be read", listOf("explain", "r", corruptLog.toString())),
            Case(ExitCode.FAILED, "no entry host answered", listOf("hosts", "--host", "http://127.0.0.1:1")),
            Case(ExitCode.SUCCESS, "Exit codes:", listOf("--help")),
            Case(ExitCode.SUCCESS, "complete=40 ", listOf("demo", "--requests", "40")),
        )
        cases.forEach { case ->
            val (exitCode, output) = run(case.arguments)
            assertContains(output, case.output)
            assertEquals(case.exitCode, exitCode, "${case.arguments}: $output")
        }
    }

    private fun run(arguments: List<String>): Pair<Int, String> {
        val output = StringWriter()
        val line = commandLine().setOut(PrintWriter(output)).setErr(PrintWriter(output))
        return line.execute(*arguments.toTypedArray()) to output.toString()
    }
}
