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

/** Guards grants against expired leases, unmatched replies and lost releases, over simulated links in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class, ExperimentalTime::class)
class LedgerServiceTest {
    private val key = LedgerKey("registry", "key")
    private val attempt = Attempt("entry", 5, 1)
    private val grant = LedgerGrant(key, attempt, "digest", deadlineMs = 4_000, service = "drafting")
    private val finish = LedgerFinish(key, attempt, StoredResponse(200, "text/plain", "ok".toByteArray()))

    private inner class Cluster(test: TestScope) {
        val network = FakeNetwork(test.backgroundScope)
        val log = FakeReplicatedLog(test.backgroundScope)
        val homes = FakeCallerHomes()
        val names = listOf("hue-1", "hue-2")
        val services =
            names.mapIndexed { i, name ->
                val link = network.link(name, epoch = 10L + i)
                ledgerService(log.replica(name), link, homes, test.backgroundScope, test.testScheduler.timeSource)
            }
        val entryHost = network.link("entry", epoch = 5)
        val client =
            LinkLedgerClient(entryHost, { names }, null, test.backgroundScope, test.testScheduler.timeSource)
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
    fun `a grant is refused when the lease ends during the commit`() = runTest {
        val cluster = Cluster(this)
        val request = LedgerRequest(1, "ledger/hue", grant = grant)
        cluster.services[1].maintain()
        val reply = async { cluster.services[1].serve(cluster.entryHost.self, request) }
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
    fun `a grant survives lost replies and a change of leader`() = runTest {
        val cluster = Cluster(this)
        var droppedReplies = 0
        cluster.network.isDropped = { to, frame -> to == "entry" && frame.ledgerReply != null && droppedReplies++ < 3 }
        launch {
            delay(600)
            cluster.log.elect("hue-1")
        }
        assertEquals(Decision.GRANTED, cluster.client.grant("hue", grant).getOrNull()?.decision)
        assertTrue(droppedReplies >= 3)
    }

    @Test
    fun `a finish without a reply is retried until it is stored`() = runTest {
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
    fun `a command from a process that does not own the attempt is refused`() = runTest {
        val cluster = Cluster(this)
        cluster.client.grant("hue", grant)
        val oldProcess = cluster.entryHost.self.copy(epoch = 4)
        val release = LedgerRequest(1, "ledger/hue", release = LedgerRelease(key, attempt))
        assertEquals(Decision.NOT_OWNER, cluster.services[1].serve(oldProcess, release).decision)
        assertEquals(Status.GRANTED, cluster.status())
    }

    @Test
    fun `a reply that matches no pending request is dropped`() = runTest {
        val cluster = Cluster(this)
        cluster.network.links.getValue("hue-1").send("entry", LinkFrame(ledgerReply = LedgerReply(1, Decision.GRANTED)))
        delay(10)
        assertEquals(1, cluster.client.unmatchedReplies)
    }

    @Test
    fun `a later leader settles the open grants of a replaced process`() = runTest {
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
