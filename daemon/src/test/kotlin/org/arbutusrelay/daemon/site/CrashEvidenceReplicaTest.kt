package org.arbutusrelay.daemon.site

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.arbutusrelay.core.suspect.CrashKeys
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.InMemoryLinks
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.CrashEvidence
import org.arbutusrelay.schema.message.CrashedRun
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.ProvenKey
import org.arbutusrelay.schema.message.SiteReport
import kotlin.test.Test
import kotlin.test.assertEquals

/** Crash evidence between the hosts of a site: entry hosts in three regions that each see a part of the crashes. */
@OptIn(ExperimentalCoroutinesApi::class)
class CrashEvidenceReplicaTest {
    private val stateHosts = listOf("10.1.0.1", "10.2.0.1", "10.3.0.1")
    private val entryHosts = listOf("10.1.0.9", "10.2.0.9", "10.3.0.9")
    private val poison = CrashKeys.ofPart("svc", "poison")
    private val first = CrashKeys.ofPart("svc", "first")

    private inner class Site(private val scope: TestScope) {
        val links = InMemoryLinks(scope.backgroundScope, delayMs = { _, _ -> LINK_DELAY_MS })
        val services = HashMap<String, SiteService>()

        fun start(name: String, epoch: Long = 1) {
            val region = name.split('.')[1]
            val identity = HostIdentity(name, region, "$region-a", epoch)
            val clock = RelayClock(scope.testScheduler.timeSource)
            val self = identity.initialState("$name:1", isStateHost = name in stateHosts)
            services[name] = SiteService(links.start(identity), self, stateHosts, linkPort = 1, clock)
                .apply { start(scope.backgroundScope) }
        }

        /** Lets the entry hosts see crashes in turn, one a second. */
        suspend fun crash(numbers: IntRange) = numbers.forEach {
            val evidence = services.getValue(entryHosts[it % entryHosts.size]).crashEvidence
            evidence.recordCrash("b$it", 1, 100, listOf(first, poison, "request $it"))
            delay(1_000)
        }

        fun held(names: List<String> = stateHosts + entryHosts) = names.map {
            services.getValue(it).crashEvidence.heldBack
        }
    }

    private fun site(test: suspend Site.() -> Unit) = runTest {
        val site = Site(this)
        (stateHosts + entryHosts).forEach { site.start(it) }
        delay(5_000)
        site.test()
    }

    private val everywhere = List(stateHosts.size + entryHosts.size) { setOf(poison) }
    private val nowhere = List(stateHosts.size + entryHosts.size) { emptySet<String>() }

    /** Guards against hosts that each know only their own crashes, and against a part held back for good by mistake. */
    @Test
    fun `crashes that three regions saw hold a part back everywhere until it is proven`() = site {
        crash(1..3)
        assertEquals(nowhere, held())
        crash(4..4)
        assertEquals(everywhere, held())
        services.getValue(entryHosts[1]).crashEvidence.recordProven(listOf(first, poison))
        delay(500)
        assertEquals(nowhere, held())
    }

    /** Guards against a part that is sent again because a host, or each state host, has restarted. */
    @Test
    fun `a host that restarts hears what is held back`() {
        data class Case(val name: String, val restarted: List<String>)
        val cases = listOf(
            Case("an entry host", entryHosts.take(1)),
            Case("a state host", stateHosts.take(1)),
            Case("all state hosts", stateHosts),
            Case("all state hosts and an entry host", stateHosts + entryHosts[0]),
        )
        for (case in cases) {
            site {
                crash(1..4)
                case.restarted.forEach { start(it, epoch = 2) }
                delay(4_000)
                assertEquals(everywhere, held(), case.name)
            }
        }
    }

    /** Guards against holding a sound part back for minutes because connections to servers that run were lost. */
    @Test
    fun `broken connections to servers that go on announcing themselves are no crashes`() = site {
        crash(1..4)
        assertEquals(everywhere, held())
        repeat(4) { round ->
            (1..4).forEach { services.getValue(stateHosts[it % stateHosts.size]).announce(server("b$it", round)) }
            delay(1_000)
        }
        assertEquals(nowhere, held())
    }

    private fun server(name: String, version: Int) = BackendServerState(
        name, "svc", "1", "1-a", "$name:1", 1, version.toLong(), 8, emptyList(), emptyList(), "", 0, 0, false, 6_000,
    )

    /** Guards against crashes that are counted late because a link was down when they happened. */
    @Test
    fun `evidence that was lost with a link is repeated`() = site {
        crash(1..3)
        links.partition(entryHosts, stateHosts, isCut = true)
        crash(4..4)
        links.partition(entryHosts, stateHosts, isCut = false)
        delay(2_500)
        assertEquals(everywhere, held())
    }

    /** Guards against a sound first part that is held back because the host that ran it before saw no crash. */
    @Test
    fun `a part that another host has proven before needs more crashes`() = site {
        services.getValue(entryHosts[0]).crashEvidence.recordProven(listOf(first))
        repeat(6) {
            services.getValue(entryHosts[1]).crashEvidence.recordCrash("b$it", 1, 100, listOf(first, "request $it"))
            delay(1_000)
        }
        assertEquals(nowhere, held())
    }

    /** Guards against a host that stops exchanging evidence after a malformed list, or passes it on without end. */
    @Test
    fun `a huge list neither ends the exchange nor is passed on`() = site {
        val many =
            List(5_000) { CrashedRun("x$it", 1, it.toLong(), 0, listOf("part svc $it".repeat(it % 40)), listOf(-1)) }
        val report = CrashEvidence(many, List(5_000) { ProvenKey("part svc $it", Long.MAX_VALUE) })
        val self = HostIdentity(entryHosts[0], "1", "1-a", 1).initialState("a:1", isStateHost = false)
        val frame = LinkFrame(siteReport = SiteReport(self, 0, emptyList(), crashEvidence = report))
        services.getValue(stateHosts[0]).onFrame(HostIdentity(entryHosts[0], "1", "1-a", 1), frame)
        crash(1..4)
        assertEquals(everywhere, held())
    }

    private companion object {
        const val LINK_DELAY_MS = 40L
    }
}
