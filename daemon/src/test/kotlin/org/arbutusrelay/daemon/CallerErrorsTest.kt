package org.arbutusrelay.daemon

import kotlinx.serialization.json.Json
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.schema.api.Problem
import java.net.Socket
import java.net.http.HttpResponse
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Guards against errors whose status, outcome or body differ from the table of [ErrorKind]. */
class CallerErrorsTest {
    private val daemon = TestDaemon(slowSenderTimeoutMs = 500, maxInFlight = 1)
    private val boardPath = "/v1/services/board/x"

    @AfterTest
    fun close() = daemon.close()

    private fun post(path: String, body: String, vararg headers: Pair<String, String>) =
        daemon.send("POST", path, body, *headers)

    private val cases: Map<String, Pair<ErrorKind, () -> HttpResponse<String>>> = mapOf(
        "not JSON" to (ErrorKind.MALFORMED_REQUEST to { post("/v1/chat/completions", "{") }),
        "JSON without a model" to (ErrorKind.MALFORMED_REQUEST to { post("/v1/chat/completions", "{}") }),
        "an array" to (ErrorKind.MALFORMED_REQUEST to { post("/v1/chat/completions", "[]") }),
        "deep nesting" to (ErrorKind.MALFORMED_REQUEST to { post("/v1/chat/completions", "[".repeat(9_000)) }),
        "a plain service as model" to (
            ErrorKind.MALFORMED_REQUEST to { post("/v1/chat/completions", """{"model":"board"}""") }
            ),
        "an engine as plain service" to (ErrorKind.MALFORMED_REQUEST to { post("/v1/services/draft/x", "") }),
        "no key" to (ErrorKind.MISSING_IDEMPOTENCY_KEY to { post(boardPath, "", "Arbutus-Kind" to "post") }),
        "wrong token" to (ErrorKind.UNAUTHENTICATED to { post(boardPath, "", "Authorization" to "Bearer no") }),
        "other scheme" to (ErrorKind.UNAUTHENTICATED to { post(boardPath, "", "Authorization" to "Basic $TOKEN") }),
        "wrong token for the list" to (
            ErrorKind.UNAUTHENTICATED to { daemon.send("GET", "/v1/entry-hosts", "", "Authorization" to "Bearer x") }
            ),
        "unknown service" to (ErrorKind.UNKNOWN_SERVICE to { post("/v1/services/none/x", "") }),
        "unknown model" to (ErrorKind.UNKNOWN_SERVICE to { post("/v1/chat/completions", """{"model":"none"}""") }),
        "unknown kind" to (ErrorKind.UNKNOWN_KIND to { post(boardPath, "", "Arbutus-Kind" to "none") }),
        "unknown path" to (ErrorKind.NOT_FOUND to { post("/v2/none", "") }),
        "plain body too large" to (ErrorKind.BODY_TOO_LARGE to { post(boardPath, "x".repeat(2_001)) }),
        "chat body too large" to (ErrorKind.BODY_TOO_LARGE to { post("/v1/chat/completions", " ".repeat(10_001)) }),
        "no backend server" to (ErrorKind.NO_BACKEND_SERVER to { daemon.query() }),
        "operator token missing" to (ErrorKind.UNAUTHENTICATED to { daemon.send("GET", "/v1/hosts") }),
        "metrics without the operator token" to (ErrorKind.UNAUTHENTICATED to { daemon.send("GET", "/metrics") }),
        "announcement with a caller's token" to (
            ErrorKind.UNAUTHENTICATED to { post("/v1/backend-servers/announce", "{}") }
            ),
        "announcement without members" to (
            ErrorKind.MALFORMED_REQUEST to {
                post("/v1/backend-servers/announce", "{}", "Authorization" to "Bearer backend")
            }
            ),
        "cache events out of bounds" to (
            ErrorKind.MALFORMED_REQUEST to {
                val events = """{"incarnation":1,"events":[{"sequence":0,"type":"cleared"}]}"""
                post("/v1/backend-servers/e1/cache-events", events, "Authorization" to "Bearer backend")
            }
            ),
    )

    @Test
    fun `each error response has the status, outcome and body of its kind`() {
        for ((name, case) in cases) assertProblem(name, case.first, case.second())
        daemon.publish(9)
        assertProblem("stale manifest", ErrorKind.MANIFEST_NUMBER_STALE, post("/v1/manifest", "8", OPERATOR))
        assertProblem("manifest conflict", ErrorKind.MANIFEST_CONFLICT, post("/v1/manifest", "09", OPERATOR))
    }

    @Test
    fun `a sender that stops in the middle of a body is refused`() {
        val head = "POST $boardPath HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer $TOKEN\r\nContent-Length: 9\r\n\r\nabc"
        Socket("127.0.0.1", daemon.daemon.callerPort).use { socket ->
            socket.getOutputStream().write(head.encodeToByteArray())
            val text = socket.getInputStream().readAllBytes().decodeToString()
            assertContains(text, "HTTP/1.1 408")
            assertContains(text, """"type":"slow_sender"""")
        }
        assertEquals(1, daemon.daemon.metrics.errorCount(ErrorKind.SLOW_SENDER))
    }

    @Test
    fun `a request over the limit is refused and a response slower than the idle timeout still arrives`() {
        val isReceived = CountDownLatch(1)
        val mayRespond = CountDownLatch(1)
        StubBackendServer {
            isReceived.countDown()
            mayRespond.await()
            // Longer than the idle timeout of the caller's connection, which must not disconnect a waiting caller.
            Thread.sleep(1_200)
            respond(200, "late")
        }.use { server ->
            daemon.announce("b1", "board", server.address)
            var first: HttpResponse<String>? = null
            val caller = thread { first = daemon.query() }
            isReceived.await()
            assertProblem("over the limit", ErrorKind.OVERLOADED, daemon.query())
            mayRespond.countDown()
            caller.join()
            assertEquals("late", first?.body())
        }
    }

    @Test
    fun `operator routes and probes respond`() {
        assertEquals(200, daemon.send("GET", "/healthz").statusCode())
        assertEquals(200, daemon.send("GET", "/readyz").statusCode())
        assertEquals("1", daemon.send("GET", "/v1/manifest", "", OPERATOR).body())
        assertContains(daemon.send("GET", "/v1/manifest/status", "", OPERATOR).body(), """"newestNumber":1""")
        assertContains(daemon.send("GET", "/v1/hosts", "", OPERATOR).body(), "hue-1")
        daemon.announce("b1", "board", "http://127.0.0.1:1")
        assertContains(daemon.send("GET", "/v1/backend-servers", "", OPERATOR).body(), """"state":"available"""")
        assertContains(daemon.send("GET", "/v1/entry-hosts").body(), """"lifetimeMs":30000""")
        assertContains(
            daemon.send("GET", "/metrics", "", OPERATOR).body(),
            "arbutus_errors_total{kind=\"caller_limit\"}",
        )
    }

    private fun assertProblem(name: String, kind: ErrorKind, response: HttpResponse<String>) {
        assertEquals("application/problem+json", response.headers().firstValue("Content-Type").get(), name)
        val problem = Json.decodeFromString(Problem.serializer(), response.body())
        assertEquals(kind.id, problem.type, "$name: ${problem.detail}")
        assertEquals(kind.statusCode, response.statusCode(), name)
        assertEquals(kind.outcome.name, problem.outcome.name, name)
        assertEquals(kind.outcome.id, response.headers().firstValue("Arbutus-Outcome").get(), name)
        assertEquals(kind.isResendSafe, problem.isResendSafe, name)
        val hasRetryAfter = response.headers().firstValue("Retry-After").isPresent
        assertEquals(kind.retryAfterMs != null, hasRetryAfter, name)
    }

    private companion object {
        private val OPERATOR = "Authorization" to "Bearer operator"
    }
}
