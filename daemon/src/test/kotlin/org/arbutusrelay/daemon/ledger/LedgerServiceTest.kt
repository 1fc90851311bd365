package org.arbutusrelay.daemon.ledger

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.schema.message.Attempt
import org.arbutusrelay.schema.message.LedgerEntry.Status
import org.arbutusrelay.schema.message.LedgerFinish
import org.arbutusrelay.schema.message.LedgerGrant
import org.arbutusrelay.schema.message.LedgerKey
import org.arbutusrelay.schema.message.LedgerRelease
import org.arbutusrelay.schema.message.LedgerReply
import org.arbutusrelay.schema.message.LedgerReply.Decision
import org.arbutusrelay.schema.message.LedgerRequest
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.StoredResponse
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.ExperimentalTime

/** Guards grants against lost leases, unmatched replies and lost releases, over fake links in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class, ExperimentalTime::class)
class LedgerServiceTest {
    private val key = LedgerKey("registry", "key")
    private val attempt = Attempt("entry", 5, 1)
    private val grant = LedgerGrant(key, attempt, "digest", deadlineMs = 4_000, service = "drafting")
    private val finish = LedgerFinish(key, attempt, StoredResponse(200, "text/plain", "ok".toByteArray()))

    private inner class Cluster(test: TestScope) {
        val switch = FakeSwitch(test.backgroundScope)
        val log = FakeLog(test.backgroundScope)
        val homes = FakeHomes()
        val names = listOf("hue-1", "hue-2")
        val services =
            names.mapIndexed { i, name ->
                val link = switch.link(name, epoch = 10L + i)
                ledgerService(log.replica(name), link, homes, test.backgroundScope, test.testScheduler.timeSource)
            }
        val entry = switch.link("entry", epoch = 5)
        val client =
            LinkLedgerClient(entry, { names }, null, test.backgroundScope, test.testScheduler.timeSource)
                .apply { start() }

        init {
            log.elect("hue-2")
        }

        fun status() = log.replicas.getValue("hue-1").machine.state.entries[key]?.status
    }

    @Test
    fun `the client finds the leader and gets a committed grant`() = runTest {
        val cluster = Cluster(this)
        assertEquals(Decision.GRANTED, cluster.client.grant("hue", grant).getOrNull()?.decision)
        assertEquals(Status.GRANTED, cluster.status())
        assertTrue(cluster.client.finish("hue", finish, timeoutMs = 500))
        assertEquals(Decision.FINISHED, cluster.client.awaitEnd("hue", key, 1_000).getOrNull()?.decision)
    }

    @Test
    fun `a grant without the leader lease is refused and then released`() = runTest {
        val cluster = Cluster(this)
        cluster.log.isLeaseHeld = false
        val error = cluster.client.grant("hue", grant).leftOrNull()
        assertEquals(ErrorKind.LEDGER_UNAVAILABLE, error?.kind)
        assertEquals(4_000, currentTime)
        cluster.log.isLeaseHeld = true
        delay(15_000)
        assertEquals(null, cluster.status())
        assertEquals(1, cluster.log.replicas.getValue("hue-1").machine.state.tombstones.size)
    }

    @Test
    fun `a lease that ends during the commit withholds the grant`() = runTest {
        val cluster = Cluster(this)
        val request = LedgerRequest(1, "ledger/hue", grant = grant)
        cluster.services[1].maintain()
        val reply = async { cluster.services[1].serve(cluster.entry.self, request) }
        delay(1)
        cluster.log.isLeaseHeld = false
        assertEquals(Decision.NO_LEADER, reply.await().decision)
    }

    @Test
    fun `a cancelled grant is released`() = runTest {
        val cluster = Cluster(this)
        val job = launch { cluster.client.grant("hue", grant) }
        delay(1)
        job.cancelAndJoin()
        delay(1_000)
        assertEquals(null, cluster.status())
        assertEquals(1, cluster.log.replicas.getValue("hue-1").machine.state.tombstones.size)
    }

    @Test
    fun `a lost reply and a change of leader do not lose the grant`() = runTest {
        val cluster = Cluster(this)
        var lost = 0
        cluster.switch.isLost = { to, frame -> to == "entry" && frame.ledgerReply != null && lost++ < 3 }
        launch {
            delay(600)
            cluster.log.elect("hue-1")
        }
        assertEquals(Decision.GRANTED, cluster.client.grant("hue", grant).getOrNull()?.decision)
        assertTrue(lost >= 3)
    }

    @Test
    fun `a finish that gets no answer is retried until it is stored`() = runTest {
        val cluster = Cluster(this)
        cluster.client.grant("hue", grant)
        cluster.log.isStalled = true
        assertFalse(cluster.client.finish("hue", finish, timeoutMs = 300))
        delay(5_000)
        cluster.log.isStalled = false
        delay(15_000)
        assertEquals(Status.FINISHED, cluster.status())
    }

    @Test
    fun `only the owning process may act for an attempt`() = runTest {
        val cluster = Cluster(this)
        cluster.client.grant("hue", grant)
        val old = cluster.entry.self.copy(epoch = 4)
        val release = LedgerRequest(1, "ledger/hue", release = LedgerRelease(key, attempt))
        assertEquals(Decision.NOT_OWNER, cluster.services[1].serve(old, release).decision)
        assertEquals(Status.GRANTED, cluster.status())
    }

    @Test
    fun `a reply of another process or with another number is dropped`() = runTest {
        val cluster = Cluster(this)
        cluster.switch.links.getValue("hue-1").send("entry", LinkFrame(ledgerReply = LedgerReply(1, Decision.GRANTED)))
        delay(10)
        assertEquals(1, cluster.client.unmatchedReplies)
    }

    @Test
    fun `a replaced process epoch and a passed deadline settle open grants under a later leader`() = runTest {
        val cluster = Cluster(this)
        cluster.client.grant("hue", grant)
        cluster.services[0].onHostReplaced("entry", 5)
        delay(2_000)
        assertEquals(Status.GRANTED, cluster.status())
        cluster.log.elect("hue-1")
        delay(2_000)
        assertEquals(Status.UNKNOWN, cluster.status())
    }

    @Test
    fun `an overdue grant becomes unknown`() = runTest {
        val cluster = Cluster(this)
        cluster.client.grant("hue", grant)
        delay(33_000)
        assertEquals(Status.GRANTED, cluster.status())
        delay(3_000)
        assertEquals(Status.UNKNOWN, cluster.status())
    }
}
