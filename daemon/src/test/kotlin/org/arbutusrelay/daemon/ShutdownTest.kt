package org.arbutusrelay.daemon

import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import net.peanuuutz.tomlkt.Toml
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.schema.manifest.Manifest
import org.arbutusrelay.schema.settings.DaemonSettings
import java.io.PrintWriter
import java.io.StringWriter
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.util.concurrent.CountDownLatch
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against a planned stop that interrupts a request, and against unclear failures at start. */
class ShutdownTest {
    private val daemon = TestDaemon()

    @AfterTest
    fun close() = daemon.close()

    @Test
    fun `a graceful stop lets a long stream end, refuses new requests and leaves the list`() {
        val hasBegun = CountDownLatch(1)
        val mayEnd = CountDownLatch(1)
        val server = StandInServer {
            beginEvents()
            event(1, "a")
            hasBegun.countDown()
            mayEnd.await()
            event(2, "[DONE]")
            close()
        }
        server.use {
            daemon.announce("e1", "draft", it.address)
            runBlocking(Dispatchers.IO) {
                val stream = async { daemon.chat() }
                hasBegun.await()
                val stop = async { daemon.daemon.stop() }
                while (daemon.membership.entryHosts("registry").hosts.isNotEmpty()) Thread.yield()
                var late = daemon.query()
                while (late.statusCode() == 503 && "no_backend_server" in late.body()) late = nextArrival()
                assertContains(late.body(), """"type":"shutting_down"""")
                assertFalse(stop.isCompleted, "the stream is still open")
                mayEnd.countDown()
                assertContains(stream.await().body(), "[DONE]")
                assertTrue(stop.await())
            }
        }
    }

    // Each arrival postpones the refusal by the quiet time, so the next one must come later than that.
    private fun nextArrival() = daemon.query().also { Thread.sleep(2_500) }

    @Test
    fun `unusable settings and an address in use give a clear error and exit code 2`() {
        val file = Files.createTempFile("settings", ".toml")
        ServerSocket(0).use { taken ->
            val output = StringWriter()
            val parsers: List<SettingsParser> = listOf(
                { RelayError(ErrorKind.MALFORMED_REQUEST, "line 3, key hostName: missing").left() },
                { settings(taken.localPort).right() },
            )
            for (parser in parsers) {
                val command =
                    Arbutusd(parser, ::localDaemon, PrintWriter(output, true)) { error("was started") }
                assertEquals(2, Arbutusd.run(command, "--settings", file.toString()))
            }
            val missing =
                Arbutusd(parsers[0], ::localDaemon, PrintWriter(output, true)) { error("was started") }
            assertEquals(2, Arbutusd.run(missing, "--settings", "$file.missing"))
            assertContains(output.toString(), "line 3, key hostName: missing")
            assertContains(output.toString(), "callerPort")
            assertContains(output.toString(), "cannot be read")
        }
        Files.delete(file)
    }

    @Test
    fun `a daemon started from a settings file becomes ready with a manifest and exits with 0`() {
        val file = Files.createTempFile("settings", ".toml")
        Files.writeString(file, Toml.encodeToString(DaemonSettings.serializer(), settings(0)))
        lateinit var started: Daemon
        val command = Arbutusd(
            LocalToml::settings,
            { settings -> localDaemon(settings).also { started = it } },
            awaitStop = {
                assertFalse(started.isReady)
                assertEquals(200, publish(started.callerPort, Toml.encodeToString(Manifest.serializer(), manifest())))
                assertTrue(started.isReady)
            },
        )
        assertEquals(0, Arbutusd.run(command, "--settings", file.toString()))
        assertFalse(started.isReady)
        Files.writeString(file, "hostName = 3")
        assertEquals(2, Arbutusd.run(command, "--settings", file.toString()))
        Files.delete(file)
    }

    private fun publish(port: Int, text: String): Int {
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:$port/v1/manifest"))
            .header("Authorization", "Bearer o").POST(HttpRequest.BodyPublishers.ofString(text)).build()
        return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding()).statusCode()
    }

    private fun settings(port: Int) = DaemonSettings(
        "hue-1", "hue", "hue-a", "127.0.0.1", port, 0, sharedSecret = "s", operatorToken = "o",
        backendServerToken = "b", manifestVoters = emptyList(), ledgerVoters = emptyList(),
    )
}
