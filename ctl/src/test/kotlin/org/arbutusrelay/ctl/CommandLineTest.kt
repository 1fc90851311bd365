package org.arbutusrelay.ctl

import java.io.PrintWriter
import java.io.StringWriter
import java.nio.file.Files
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class CommandLineTest {
    /** Guards against exit codes that scripts cannot rely on, and against a demo that loses or doubles a request. */
    @Test
    fun `commands end with their documented exit codes`() {
        val manifest = Files.createTempFile("manifest", ".toml")
        Files.writeString(manifest, "number = 1\nregions = 3\n")
        val damagedLog = Files.createTempFile("damaged", ".log")
        Files.write(damagedLog, byteArrayOf('{'.code.toByte(), 0xC3.toByte(), 0x28, '\n'.code.toByte()))
        data class Case(val exitCode: Int, val output: String, val arguments: List<String>)
        val cases = listOf(
            Case(ExitCode.USAGE, "Unknown option", listOf("hosts", "--no-such-option")),
            Case(ExitCode.USAGE, ":2: regions: expected an array", listOf("manifest", "check", manifest.toString())),
            Case(ExitCode.USAGE, "cannot be read", listOf("manifest", "check", "no-such-file.toml")),
            Case(ExitCode.USAGE, "cannot be read", listOf("explain", "r", "no-such-file.log")),
            Case(ExitCode.FAILED, "1 lines cannot be read", listOf("explain", "r", damagedLog.toString())),
            Case(ExitCode.FAILED, "no entry host answered", listOf("hosts", "--host", "http://127.0.0.1:1")),
            Case(ExitCode.DONE, "Exit codes:", listOf("--help")),
            Case(ExitCode.DONE, "complete=40 ", listOf("demo", "--requests", "40")),
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
