package org.arbutusrelay.daemon.ledger

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.arbutusrelay.core.ledger.CallerHome
import org.arbutusrelay.core.ledger.HomeMove
import org.arbutusrelay.schema.message.Attempt
import org.arbutusrelay.schema.message.LedgerEntry.Status
import org.arbutusrelay.schema.message.LedgerFinish
import org.arbutusrelay.schema.message.LedgerGrant
import org.arbutusrelay.schema.message.LedgerKey
import org.arbutusrelay.schema.message.LedgerReply.Decision
import org.arbutusrelay.schema.message.LedgerRequest
import org.arbutusrelay.schema.message.StoredResponse
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.ExperimentalTime

/** Guards home moves against a second run of a request, a lost response, and a response outside its allowed regions. */
@OptIn(ExperimentalCoroutinesApi::class, ExperimentalTime::class)
class LedgerHandOverTest {
    private val key = LedgerKey("registry", "key")
    private val attempt = Attempt("entry", 5, 1)
    private val grant = LedgerGrant(key, attempt, "digest", deadlineMs = 4_000, service = "drafting")
    private val finish = LedgerFinish(key, attempt, StoredResponse(200, "text/plain", "ok".toByteArray()))
    private val moved = CallerHome("da-nang", listOf(HomeMove(2, "hue", "da-nang")))

    private inner class Regions(test: TestScope) {
        private val scope = test.backgroundScope
        private val time = test.testScheduler.timeSource
        val network = FakeNetwork(scope)
        private val stateHosts = mapOf("hue" to listOf("hue-1"), "da-nang" to listOf("da-nang-1"))
        private val homes = stateHosts.mapValues { FakeCallerHomes(it.key) }
        private val logs = stateHosts.mapValues { FakeReplicatedLog(scope, it.key).apply { elect(it.value.first()) } }
        private val machines = logs.mapValues { (region, log) -> log.replica(stateHosts.getValue(region).first()) }
        private val links = stateHosts.mapValues { network.link(it.value.first(), 30, it.key) }
        private val services = machines.mapValues { (region, group) ->
            ledgerService(group, links.getValue(region), homes.getValue(region), scope, time)
        }
        private val entryHost = network.link("entry", epoch = 5)
        val client = LinkLedgerClient(entryHost, { stateHosts.getValue(it) }, null, scope, time).apply { start() }
        private val handOverClient =
            LinkLedgerClient(links.getValue("da-nang"), { stateHosts.getValue(it) }, services["da-nang"], scope, time)
                .apply { start() }

        init {
            LedgerHandOver("da-nang", services.getValue("da-nang"), handOverClient, scope).start()
        }

        fun entry(region: String) = machines.getValue(region).machine.state.entries[key]

        fun publishMove(region: String) {
            homes.getValue(region).homes["registry"] = moved
        }

        suspend fun grantInNewHome(grant: LedgerGrant) = services.getValue("da-nang")
            .serve(links.getValue("da-nang").self, LedgerRequest(1, "ledger/da-nang", grant = grant))
    }

    private val secondGrant = grant.copy(attempt = Attempt("da-nang-1", 30, 1))

    @Test
    fun `a moved caller gets no grant before the hand-over, and bound entries are not moved`() = runTest {
        for ((service, isMoved) in listOf("drafting" to true, "bound" to false, null to false)) {
            val regions = Regions(this)
            regions.client.grant("hue", grant.copy(service = service))
            regions.client.finish("hue", finish, 500)
            regions.publishMove("da-nang")
            delay(3_000)
            assertEquals(Decision.FENCED, regions.grantInNewHome(secondGrant).decision)
            regions.publishMove("hue")
            delay(5_000)
            val reply = regions.grantInNewHome(secondGrant)
            assertEquals(Decision.FINISHED, reply.decision, "service $service")
            assertEquals(isMoved, reply.response != null, "service $service")
            assertEquals(isMoved, regions.entry("da-nang") != null, "service $service")
        }
    }

    @Test
    fun `a key without an entry in the new home is granted only after the former home replied`() = runTest {
        val regions = Regions(this)
        regions.client.grant("hue", grant.copy(service = "bound"))
        listOf("hue", "da-nang").forEach(regions::publishMove)
        delay(5_000)
        val other = secondGrant.copy(key = LedgerKey("registry", "other"), absentFor = 2)
        regions.network.isDropped = { to, _ -> to == "hue-1" }
        assertEquals(Decision.FENCED, regions.grantInNewHome(other).decision)
        regions.network.isDropped = { _, _ -> false }
        assertEquals(Decision.GRANTED, regions.grantInNewHome(other).decision)
        assertEquals(Decision.IN_PROGRESS, regions.grantInNewHome(secondGrant).decision)
        assertEquals(Decision.BODY_MISMATCH, regions.grantInNewHome(secondGrant.copy(bodyDigest = "other")).decision)
    }

    @Test
    fun `a finish after the export reaches the new home unless its service is bound`() = runTest {
        for ((service, isMoved) in listOf("drafting" to true, "bound" to false)) {
            val regions = Regions(this)
            regions.client.grant("hue", grant.copy(service = service))
            listOf("hue", "da-nang").forEach(regions::publishMove)
            delay(5_000)
            assertTrue(regions.client.finish("hue", finish, 500))
            delay(1_000)
            assertEquals(Status.FINISHED, regions.entry("hue")?.status)
            if (isMoved) assertEquals(Status.FINISHED, regions.entry("da-nang")?.status)
            if (!isMoved) assertNull(regions.entry("da-nang"))
        }
    }
}
