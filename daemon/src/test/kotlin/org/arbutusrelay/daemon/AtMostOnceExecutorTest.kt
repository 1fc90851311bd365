package org.arbutusrelay.daemon

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.daemon.ledger.LedgerClient
import org.arbutusrelay.daemon.ledger.LocalLedgerClient
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

/** Guards against resends that run again, get the response of another request or leak a grant. */
class AtMostOnceExecutorTest {
    /** Answers grant requests with [replies] in order, then delegates to a local ledger. */
    private class ScriptedLedger(vararg replies: Either<RelayError, LedgerReply>) : LedgerClient {
        private val delegate = LocalLedgerClient()
        private val replies = ArrayDeque(replies.toList())
        val grants = CopyOnWriteArrayList<LedgerGrant>()
        val releases = CopyOnWriteArrayList<LedgerRelease>()

        override suspend fun grant(homeRegion: String, grant: LedgerGrant): Either<RelayError, LedgerReply> {
            grants += grant
            return replies.removeFirstOrNull() ?: delegate.grant(homeRegion, grant)
        }

        // Simulates a request with another body that claimed the key in the meantime and finished.
        override suspend fun awaitEnd(homeRegion: String, key: LedgerKey, timeoutMs: Long) =
            LedgerReply(0, Decision.FINISHED, StoredResponse(200, "text/plain", "foreign".encodeToByteArray())).right()

        override fun release(homeRegion: String, release: LedgerRelease) {
            releases += release
            delegate.release(homeRegion, release)
        }

        override suspend fun finish(
            homeRegion: String,
            finish: LedgerFinish,
            timeoutMs: Long,
        ) = delegate.finish(homeRegion, finish, timeoutMs)

        override fun settle(
            homeRegion: String,
            key: LedgerKey,
            attempt: Attempt,
        ) = delegate.settle(homeRegion, key, attempt)
    }

    @Test
    fun `a resend that waited requests a grant again, so that it never gets the response of another body`() {
        val inProgress = LedgerReply(0, Decision.IN_PROGRESS).right()
        val cases = listOf(
            RelayError(ErrorKind.IDEMPOTENCY_KEY_REUSED).left() to ErrorKind.IDEMPOTENCY_KEY_REUSED,
            LedgerReply(0, Decision.UNKNOWN).right() to ErrorKind.OUTCOME_UNKNOWN,
            RelayError(ErrorKind.LEDGER_UNAVAILABLE).left() to ErrorKind.IN_PROGRESS,
            RelayError(ErrorKind.HOME_MOVING).left() to ErrorKind.IN_PROGRESS,
        )
        for ((second, expected) in cases) {
            val ledger = ScriptedLedger(inProgress, second)
            TestDaemon(ledger = ledger).use { daemon ->
                assertContains(daemon.post().body(), """"type":"${expected.id}"""", message = "$second")
            }
            assertEquals(ledger.grants.map { it.attempt }.distinct(), ledger.releases.map { it.attempt }, "$second")
        }
    }

    @Test
    fun `a request whose key becomes free while it waits runs once and keeps its grant`() {
        val ledger = ScriptedLedger(LedgerReply(0, Decision.IN_PROGRESS).right())
        StubBackendServer { respond(200, "own") }.use { server ->
            TestDaemon(ledger = ledger).use { daemon ->
                daemon.announce("b1", "board", server.address)
                assertEquals("own", daemon.post().body())
            }
            assertEquals(1, server.received.size)
        }
        assertEquals(emptyList(), ledger.releases)
        assertEquals(listOf("board", "board"), ledger.grants.map { it.service }, "entries are moved by service")
    }

    @Test
    fun `neither another body nor a resend after an unknown outcome is run`() {
        StubBackendServer { if (body == "lost") reset() else respond(200, "done") }.use { server ->
            TestDaemon().use { daemon ->
                daemon.announce("b1", "board", server.address)
                assertEquals("done", daemon.post("k1", "notice").body())
                assertContains(daemon.post("k1", "changed").body(), "idempotency_key_reused")
                assertEquals("done", daemon.post("k1", "notice").body())
                assertContains(daemon.post("k2", "lost").body(), "backend_failed")
                assertContains(daemon.post("k2", "lost").body(), "outcome_unknown")
                assertContains(daemon.post("k2", "changed").body(), "idempotency_key_reused")
            }
            assertEquals(listOf("notice", "lost"), server.received.map { it.body })
        }
    }
}
