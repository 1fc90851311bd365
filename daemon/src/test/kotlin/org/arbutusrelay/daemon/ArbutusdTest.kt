package org.arbutusrelay.daemon

import org.arbutusrelay.daemon.node.Node
import java.io.PrintWriter
import java.io.StringWriter
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against a daemon that starts with invalid settings, loses its state or does not stop gracefully. */
class ArbutusdTest {
    private val folder = Files.createTempDirectory("arbutusd")
    private val file = folder.resolve("daemon.toml")
    private val output = StringWriter()

    @AfterTest
    fun delete() {
        folder.toFile().deleteRecursively()
    }

    @Test
    fun `each invalid setting is reported with file, line and key, and nothing is started`() {
        val damaged = Files.createDirectories(folder.resolve("damaged/ledger-group")).resolve("vote")
        Files.writeString(damaged, "no record")
        ServerSocket(0).use { occupied ->
            val cases = listOf(
                settings("callerPort" to "\"x\"", "nonsense" to "1") to
                    listOf("daemon.toml:5: callerPort", "daemon.toml:13: nonsense"),
                settings("callerPort" to "${occupied.localPort}") to listOf("daemon.toml:5: callerPort: "),
                settings("linkPort" to "${occupied.localPort}") to listOf("daemon.toml:6: linkPort: "),
                settings("dataFolder" to "\"$file\"") to listOf("daemon.toml:7: dataFolder: "),
                settings("dataFolder" to "\"$folder/damaged\"") to listOf("daemon.toml:7: dataFolder: ", "$damaged"),
                settings("bindAddress" to "\"no address\"") to listOf("daemon.toml:4: bindAddress: "),
                settings() + PEER to listOf("daemon.toml:17: peers[0].address: "),
            )
            for ((text, expected) in cases) {
                assertEquals(2, run(text) { error("was started") }, text)
                expected.forEach { assertContains(output.toString(), it) }
                output.buffer.setLength(0)
            }
        }
        assertEquals(2, Arbutusd.run(command { error("was started") }, "--settings", "$file.missing"))
        assertContains(output.toString(), "daemon.toml.missing: cannot be read")
    }

    @Test
    fun `a daemon becomes ready with a manifest, exits with 0 and keeps its state`() {
        assertEquals(0, run(settings("isFounding" to "true")) { assertPublishes(it) })
        assertEquals(0, run(settings()) { node -> await("ready from disk") { node.isReady } })
        assertEquals("", output.toString())
    }

    @Test
    fun `two nodes of one process serve and stop independently`() {
        assertEquals(
            0,
            run(settings("isFounding" to "true")) { first ->
                assertPublishes(first)
                val other = settings("isFounding" to "true", "dataFolder" to "\"$folder/other\"")
                assertEquals(0, run(other) { assertPublishes(it) })
                assertTrue(first.isReady, "the other node's stop must not end this one")
            },
        )
    }

    @Test
    fun `SIGTERM ends the process with exit code 0`() {
        Files.writeString(file, settings("isFounding" to "true"))
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val process = ProcessBuilder(
            java,
            "-Xmx256m",
            "-cp",
            System.getProperty("java.class.path"),
            "org.arbutusrelay.daemon.MainKt",
            "--settings",
            "$file",
        ).redirectErrorStream(true).start()
        try {
            val lines = process.inputStream.bufferedReader()
            val log = lines.lineSequence().first { "serves callers" in it }
            process.destroy()
            assertTrue(process.waitFor(30, TimeUnit.SECONDS), log)
            assertEquals(0, process.exitValue())
        } finally {
            process.destroyForcibly()
        }
    }

    private fun run(text: String, whileRunning: (Node) -> Unit): Int {
        Files.writeString(file, text)
        return Arbutusd.run(command(whileRunning), "--settings", "$file")
    }

    private fun command(whileRunning: (Node) -> Unit) =
        Arbutusd(errors = PrintWriter(output, true), awaitStop = whileRunning)

    private fun assertPublishes(node: Node) {
        assertFalse(node.isReady)
        // Until the group has a leader, publishing is refused with 503; any other status is a failure.
        await("published") {
            publish(node.callerPort).run {
                (statusCode() == 200).also { if (!it) assertEquals(503, statusCode(), body()) }
            }
        }
        await("ready") { node.isReady }
    }

    private fun await(what: String, condition: () -> Boolean) {
        repeat(300) { if (condition()) return else Thread.sleep(100) }
        error("not $what in time")
    }

    private fun publish(port: Int): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:$port/v1/manifest"))
            .header("Authorization", "Bearer o").POST(HttpRequest.BodyPublishers.ofString(MANIFEST)).build()
        return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString())
    }

    /** Returns settings with [changes]; a key without a default is added at the end. */
    private fun settings(vararg changes: Pair<String, String>): String {
        val defaults = linkedMapOf(
            "hostName" to "\"hue-1\"", "region" to "\"hue\"", "availabilityZone" to "\"hue-a\"",
            "bindAddress" to "\"127.0.0.1\"", "callerPort" to "0", "linkPort" to "0",
            "dataFolder" to "\"$folder/data\"", "sharedSecret" to "\"s\"", "operatorToken" to "\"o\"",
            "backendServerToken" to "\"b\"", "manifestVoters" to "[\"hue-1\"]", "ledgerVoters" to "[\"hue-1\"]",
        )
        return (defaults + changes).entries.joinToString("") { "${it.key} = ${it.value}\n" }
    }

    private companion object {
        private val MANIFEST = """
            number = 1
            callers = []
            [[regions]]
            name = "hue"
            availabilityZones = ["hue-a"]
            [[services]]
            name = "board"
            type = "plain"
            timeZone = "UTC"
            regions = ["hue"]
            [[services.kinds]]
            name = "query"
            isIdempotent = true
            [[services.kinds.waits]]
            fromHour = 0
            toHour = 24
            waitMs = 1000
        """.trimIndent()
        private const val PEER =
            "[[peers]]\nhostName = \"hue-2\"\nregion = \"hue\"\navailabilityZone = \"hue-a\"\naddress = \"nowhere\"\n"
    }
}
