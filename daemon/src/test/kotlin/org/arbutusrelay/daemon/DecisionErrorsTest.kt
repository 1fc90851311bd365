package org.arbutusrelay.daemon

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.routing.Placement
import org.arbutusrelay.core.routing.RequestProfile
import org.arbutusrelay.core.routing.RequestScheduler
import org.arbutusrelay.daemon.ledger.LedgerClient
import org.arbutusrelay.daemon.ledger.LocalLedgerClient
import org.arbutusrelay.daemon.request.LocalRequestScheduler
import org.arbutusrelay.schema.message.Attempt
import org.arbutusrelay.schema.message.LedgerFinish
import org.arbutusrelay.schema.message.LedgerGrant
import org.arbutusrelay.schema.message.LedgerKey
import org.arbutusrelay.schema.message.LedgerRelease
import org.arbutusrelay.schema.message.LedgerReply
import org.arbutusrelay.schema.message.LedgerReply.Decision
import org.arbutusrelay.schema.message.StoredResponse
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Guards against decisions of the ledger or the scheduler that reach the caller as a wrong error kind. */
class DecisionErrorsTest {
    /** Answers grant requests with [reply], when it is set, and records how each attempt ended. */
    private class ScriptedLedger(private val delegate: LocalLedgerClient = LocalLedgerClient()) :
        LedgerClient by delegate {
        var reply: Either<RelayError, LedgerReply>? = null
        var isFinishCommitted = true
        val ends = CopyOnWriteArrayList<String>()

        override suspend fun grant(homeRegion: String, grant: LedgerGrant) = reply ?: delegate.grant(homeRegion, grant)

        override suspend fun awaitEnd(homeRegion: String, key: LedgerKey, timeoutMs: Long) =
            reply ?: delegate.awaitEnd(homeRegion, key, timeoutMs)

        override fun release(homeRegion: String, release: LedgerRelease) {
            ends += "release $homeRegion"
            delegate.release(homeRegion, release)
        }

        override fun settle(homeRegion: String, key: LedgerKey, attempt: Attempt) {
            ends += "settle $homeRegion"
            delegate.settle(homeRegion, key, attempt)
        }

        override suspend fun finish(homeRegion: String, finish: LedgerFinish, timeoutMs: Long): Boolean {
            ends += "finish $homeRegion ${finish.response.isBodyStored}"
            return delegate.finish(homeRegion, finish, timeoutMs) && isFinishCommitted
        }
    }

    @Test
    fun `each decision of the ledger maps to its error kind and nothing is sent`() {
        val withoutBody = StoredResponse(200, "text/plain", ByteArray(0), isBodyStored = false)
        val cases = mapOf(
            LedgerReply(0, Decision.UNKNOWN).right() to ErrorKind.OUTCOME_UNKNOWN,
            LedgerReply(0, Decision.SETTLED).right() to ErrorKind.OUTCOME_UNKNOWN,
            LedgerReply(0, Decision.IN_PROGRESS).right() to ErrorKind.IN_PROGRESS,
            LedgerReply(0, Decision.BODY_MISMATCH).right() to ErrorKind.IDEMPOTENCY_KEY_REUSED,
            LedgerReply(0, Decision.FENCED).right() to ErrorKind.HOME_MOVING,
            LedgerReply(0, Decision.NO_LEADER).right() to ErrorKind.LEDGER_UNAVAILABLE,
            LedgerReply(0, Decision.NOT_OWNER).right() to ErrorKind.LEDGER_UNAVAILABLE,
            LedgerReply(0, Decision.FINISHED, withoutBody).right() to ErrorKind.ANSWER_NOT_STORED,
            RelayError(ErrorKind.LEDGER_UNAVAILABLE).left() to ErrorKind.LEDGER_UNAVAILABLE,
        )
        val ledger = ScriptedLedger()
        StubBackendServer { respond(200, "ran") }.use { server ->
            TestDaemon(ledger = ledger).use { daemon ->
                daemon.announce("b1", "board", server.address)
                for ((reply, kind) in cases) {
                    ledger.reply = reply
                    val response = daemon.post()
                    assertContains(response.body(), """"type":"${kind.id}"""", message = "$reply")
                    assertEquals(kind.statusCode, response.statusCode(), "$reply")
                }
            }
            assertEquals(0, server.received.size)
        }
    }

    @Test
    fun `each refusal of the scheduler reaches the caller and releases the grant`() {
        val kinds = listOf(
            ErrorKind.CALLER_LIMIT,
            ErrorKind.DEADLINE_UNREACHABLE,
            ErrorKind.OVERLOADED,
            ErrorKind.NO_BACKEND_SERVER,
            ErrorKind.REGION_UNREACHABLE,
        )
        var kind = kinds[0]
        val scheduler = object : RequestScheduler by LocalRequestScheduler("hue", 1) {
            override fun submit(profile: RequestProfile, nowMs: Long) = Placement.Refused(RelayError(kind, "d", 1_500))
        }
        val ledger = ScriptedLedger()
        TestDaemon(scheduler = scheduler, ledger = ledger).use { daemon ->
            for (next in kinds) {
                kind = next
                for (response in listOf(daemon.query(), daemon.post())) {
                    assertContains(response.body(), """"type":"${next.id}"""")
                    assertEquals("2", response.headers().firstValue("Retry-After").get(), "rounded up to seconds")
                }
            }
        }
        assertEquals(List(kinds.size) { "release hue" }, ledger.ends)
    }

    @Test
    fun `a response is recorded before it is delivered and a large one is delivered but not stored`() {
        val ledger = ScriptedLedger()
        val large = "x".repeat(300_000)
        StubBackendServer { if ("large" in body) respond(200, large) else respond(200, "small") }.use { server ->
            TestDaemon(ledger = ledger).use { daemon ->
                daemon.announce("b1", "board", server.address)
                ledger.isFinishCommitted = false
                assertEquals("small", daemon.post("k1", "small").body(), "delivered although finish was not committed")
                assertEquals(large, daemon.post("k2", "large").body())
                assertContains(daemon.post("k2", "large").body(), "answer_not_stored")
            }
            assertEquals(2, server.received.size)
        }
        assertEquals(listOf("finish hue true", "finish hue false"), ledger.ends)
    }

    @Test
    fun `an attempt that may have run is settled in the ledger`() {
        val ledger = ScriptedLedger()
        StubBackendServer { reset() }.use { server ->
            TestDaemon(ledger = ledger).use { daemon ->
                daemon.announce("b1", "board", server.address)
                assertContains(daemon.post().body(), "backend_failed")
            }
        }
        assertEquals(listOf("settle hue"), ledger.ends)
    }

    @Test
    fun `a host without a manifest is not ready`() {
        TestDaemon(hasManifest = false).use { daemon ->
            for (response in listOf(daemon.query(), daemon.chat(), daemon.send("GET", "/readyz"))) {
                assertContains(response.body(), """"type":"not_ready"""")
                assertEquals(503, response.statusCode())
            }
        }
    }
}
