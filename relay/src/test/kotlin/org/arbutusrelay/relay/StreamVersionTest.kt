package org.arbutusrelay.relay

import org.arbutusrelay.core.stream.StreamOrigin
import org.arbutusrelay.relay.ScriptedServer.Companion.reset
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import org.arbutusrelay.relay.exchange.StreamOrigins
import org.junit.jupiter.api.Tag
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.test.Test
import kotlin.test.assertEquals

/** Streams of a service whose servers run several software versions, whose events do not fit together. */
class StreamVersionTest {
    private fun event(id: Int) = "id: $id\ndata: part $id\n\n"

    private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

    private fun head(request: RawRequest) = "HTTP/1.1 200 OK\r\nAttempt: ${request.header("Attempt")}\r\n" +
        "Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

    /** Answers the rest of a stream of five events. */
    private fun server() = ScriptedServer { socket: Socket, request, _ -> socket.writeRest(request) }

    /** Answers two events of a new stream, and then only resets; or else the rest of a stream that another began. */
    private fun failingServer(): ScriptedServer {
        var hasFailed = false
        return ScriptedServer { socket: Socket, request, _ ->
            when {
                hasFailed -> socket.reset()

                request.header("Last-Event-Id") == null -> {
                    hasFailed = true
                    socket.write(head(request) + chunk(event(1)) + chunk(event(2)))
                    Thread.sleep(RESET_DELAY_MS)
                    socket.reset()
                }

                else -> socket.writeRest(request)
            }
        }
    }

    private fun Socket.writeRest(request: RawRequest) {
        val from = (request.header("Last-Event-Id")?.toInt() ?: 0) + 1
        write(head(request) + (from..5).joinToString("") { chunk(event(it)) } + "0\r\n\r\n")
    }

    private fun ids(response: String): List<Int> =
        Regex("id: (\\d+)").findAll(response).map { it.groupValues[1].toInt() }.toList()

    /** Guards against events of another software version behind those that the caller has. */
    @Test
    fun `a broken stream goes on only at the software version that began it`() {
        data class Case(val versions: List<String>, val ids: IntRange)
        val cases = listOf(
            Case(listOf("v1", "v2"), 1..2),
            Case(listOf("v1", "v1"), 1..5),
            Case(listOf("v1", "v2", "v1", "v2"), 1..5),
            Case(listOf("", ""), 1..5),
        )
        for (case in cases) {
            val servers = case.versions.map { failingServer() }
            RelayFixture(*servers.toTypedArray(), place = HostPlace(softwareVersions = case.versions)).use { relay ->
                val response = relay.exchange("/resumable/x", "POST", body = "b")
                assertEquals(case.ids.toList(), ids(response), "$case")
                val used = case.versions.filterIndexed { index, _ -> servers[index].requests.isNotEmpty() }
                assertEquals(1, used.toSet().size, "$case")
            }
        }
    }

    /** Guards against a take-up that joins two versions, after the host that passed on the first event has ended. */
    @Test
    fun `a stream that its caller takes up goes on only at the version of its first event`() {
        data class Case(val name: String, val origin: StreamOrigin?, val status: String, val runs: List<Int>)
        val cases = listOf(
            Case("a version that serves", StreamOrigin("svc", "v2"), "200 OK", listOf(0, 1)),
            Case("a version that has gone", StreamOrigin("svc", "v0"), "503 Service Unavailable", listOf(0, 0)),
            Case("an unknown one", null, "503 Service Unavailable", listOf(0, 0)),
            Case("another service", StreamOrigin("other", "v1"), "503 Service Unavailable", listOf(0, 0)),
        )
        for (case in cases) {
            val origins = KnownOrigins(mapOf("first" to case.origin))
            val servers = listOf(server(), server())
            val place = HostPlace(softwareVersions = listOf("v1", "v2"), streamOrigins = origins)
            RelayFixture(*servers.toTypedArray(), place = place).use { relay ->
                val headers = "Last-Event-Id: 2\r\nResumes: first\r\nWait-Ms: 1500\r\n"
                val response = relay.exchange("/resumable/x", "POST", headers, "b")
                assertEquals(case.status, response.lineSequence().first().substringAfter(' ').trim(), case.name)
                assertEquals(case.runs, servers.map { it.requests.size }, case.name)
                assertEquals(if (case.runs.sum() == 0) emptyList() else listOf(3, 4, 5), ids(response), case.name)
                assertEquals(emptyMap(), origins.recorded.toMap(), "${case.name}: the first event came before")
            }
        }
    }

    /** Guards against a forwarded stream whose first host does not learn the version, or does not ask for it. */
    @Test
    fun `the version of a forwarded stream passes between the hosts`() {
        val servers = listOf(server(), server())
        val place = HostPlace(
            region = "north",
            bindAddress = NORTH,
            otherRegions = emptyMap(),
            softwareVersions = listOf("v1", "v2"),
        )
        RelayFixture(*servers.toTypedArray(), place = place, isForwarded = true).use { north ->
            val origins = KnownOrigins(mapOf("first" to StreamOrigin("svc", "v2")))
            val hue = HostPlace(otherRegions = mapOf("north" to NORTH), streamOrigins = origins)
            RelayFixture(otherRegionPort = north.port, place = hue).use { host ->
                val resumed = "Last-Event-Id: 2\r\nResumes: first\r\n"
                repeat(4) { assertEquals(listOf(3, 4, 5), ids(host.exchange("/resumable/$it", "POST", resumed, "b"))) }
                assertEquals(listOf(0, 4), servers.map { it.requests.size })
                val response = host.exchange("/resumable/new", "POST", body = "b")
                assertEquals((1..5).toList(), ids(response))
                val version = if (servers[0].requests.size == 1) "v1" else "v2"
                assertEquals(mapOf("POST/resumable/new" to StreamOrigin("svc", version)), origins.recorded.toMap())
                assertEquals(false, "Arbutus-Software-Version" in response)
            }
        }
    }

    /** Guards against a stream that goes on at another version because its server has started again with a new one. */
    @Test
    @Tag("known-red")
    fun `a server that has started again has no known version before it announces itself`() {
        val servers = List(2) { failingServer() }
        val place = HostPlace(softwareVersions = listOf("v1", "v1"))
        RelayFixture(*servers.toTypedArray(), place = place).use { relay ->
            repeat(4) { relay.exchange("/resumable/warm$it", "POST", "Last-Event-Id: 2\r\n", "b") }
            // The end of a process closes all its connections.
            servers.forEach { server -> server.sockets.forEach { it.close() } }
            Thread.sleep(RESET_DELAY_MS)
            assertEquals(listOf(1, 2), ids(relay.exchange("/resumable/x", "POST", body = "b")))
        }
    }

    private class KnownOrigins(private val known: Map<String, StreamOrigin?>) : StreamOrigins {
        val recorded = ConcurrentHashMap<String, StreamOrigin>()

        override fun record(attemptId: String, origin: StreamOrigin) {
            recorded[attemptId] = origin
        }

        override fun find(attemptId: String?, service: String, onResult: (StreamOrigin?) -> Unit) =
            onResult(known[attemptId])
    }

    private companion object {
        const val RESET_DELAY_MS = 50L
        const val NORTH = "127.0.0.2"
    }
}
