package org.arbutusrelay.daemon.site

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.link.FrameCodec
import org.arbutusrelay.daemon.link.FrameReceiver
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.InMemoryLinks
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.DocumentRecord
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.SiteState
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** What an entry host receives and publishes while the hosts and backend servers of its site grow. */
@OptIn(ExperimentalCoroutinesApi::class)
class SiteGrowthTest {
    private val stateHosts = List(5) { "10.1.0.${it + 1}" }

    private class Received : FrameReceiver {
        var digests = 0
        var states = 0
        var bytes = 0
        val pulsesBySender = HashMap<String, Int>()

        override fun onFrame(from: HostIdentity, frame: LinkFrame) {
            if (frame.sitePulse != null) pulsesBySender.merge(from.hostName, 1, Int::plus)
            if (frame.siteDigest != null) digests++
            if (frame.siteState != null) states++
            bytes += FrameCodec.encode(frame).size
        }
    }

    private class Site(
        val scope: TestScope,
        val links: InMemoryLinks,
        val services: Map<String, SiteService>,
        val received: Received,
        val views: () -> Int,
    )

    private fun server(number: Int, version: Long) = BackendServerState(
        "engine-$number", "s", "1", "1-a", "10.9.0.$number:80", 1, version, 8, emptyList(), emptyList(), "", 0, 0,
        isLeaving = false, leaseMs = LEASE_MS,
    )

    private fun TestScope.site(entryHosts: Int, times: SiteTimes = SiteTimes()): Site {
        val links = InMemoryLinks(backgroundScope)
        val received = Received()
        var views = 0
        val names = stateHosts + List(entryHosts) { "10.2.0.${it + 1}" }
        val services = names.associateWith { name ->
            val identity = HostIdentity(name, "1", "1-a", 1)
            val network = links.start(identity)
            if (name == OBSERVED) network.addReceiver(received)
            val self = identity.initialState("$name:1", name in stateHosts)
            SiteService(network, self, stateHosts.take(3), 1, RelayClock(testScheduler.timeSource), times).also {
                if (name == OBSERVED) it.addListener { views++ }
                it.start(backgroundScope)
                it.confirmState()
            }
        }
        return Site(this, links, services, received) { views }
    }

    private fun Site.startEntryHost(name: String) {
        val identity = HostIdentity(name, "1", "1-a", 1)
        val self = identity.initialState("$name:1", isStateHost = false)
        SiteService(links.start(identity), self, stateHosts.take(3), 1, RelayClock(scope.testScheduler.timeSource))
            .start(scope.backgroundScope)
    }

    private suspend fun Site.announceFor(servers: Int, rounds: IntRange) = rounds.forEach { round ->
        for (number in 1..servers) {
            val receiver = stateHosts[(number + round) % stateHosts.size]
            services.getValue(receiver).announce(server(number, version = round.toLong()))
        }
        delay(ANNOUNCEMENT_INTERVAL_MS)
    }

    /** Guards against a start whose cost grows with the square of the number of hosts. */
    @Test
    fun `what an entry host receives and publishes during a start does not grow with the fleet`() {
        val counts = listOf(5, 20, 60).map { entryHosts ->
            var result = 0 to 0
            runTest {
                val site = site(entryHosts)
                delay(3_000)
                assertEquals(entryHosts + stateHosts.size, site.services.getValue(OBSERVED).view.hosts.size)
                result = site.received.digests to site.views()
            }
            result
        }
        val (small, _, large) = counts
        assertTrue(large.first <= small.first * 2 && large.second <= small.second * 2, "$counts")
    }

    /** Guards against an entry host that rebuilds its routing table for each of the hosts that start beside it. */
    @Test
    fun `an entry host publishes hosts that start with its next periodic view`() = runTest {
        val site = site(entryHosts = 5)
        delay(3_000)
        val views = site.views()
        repeat(60) {
            site.startEntryHost("10.3.0.${it + 1}")
            delay(30)
        }
        val published = site.views() - views
        assertTrue(published <= 60 * 30 / SiteTimes().publishIntervalMs + 1, "$published views")
        delay(1_000)
        assertEquals(stateHosts.size + 65, site.services.getValue(OBSERVED).view.hosts.size)
    }

    /** Guards against digests of everything that are sent again and again while nothing changes. */
    @Test
    fun `renewals of a steady site need no digest and few bytes, and every server stays known`() = runTest {
        val servers = 60
        val site = site(entryHosts = 40)
        site.announceFor(servers, 1..4)
        val digests = site.received.digests
        val bytes = site.received.bytes
        val rounds = 5..14
        site.announceFor(servers, rounds)
        assertEquals(servers, site.services.getValue(OBSERVED).view.backendServers.size)
        assertEquals(digests, site.received.digests)
        // The link of an entry host in a site of this size carries 7 Mbit/s; state gets at most 2 in 100 of it.
        val bytesPerSecond = (site.received.bytes - bytes) * 1_000L / (rounds.count() * ANNOUNCEMENT_INTERVAL_MS)
        assertTrue(bytesPerSecond <= 7_000_000 / 8 / 50, "$bytesPerSecond bytes a second")
    }

    /** Guards against an entry host that decodes the same pulse from each of the state hosts it reports to. */
    @Test
    fun `one state host sends an entry host every pulse and the others one of three`() = runTest {
        val site = site(entryHosts = 20)
        delay(5_000)
        site.received.pulsesBySender.clear()
        delay(30_000)
        val pulses = site.received.pulsesBySender.values.sortedDescending()
        assertEquals(3, pulses.size, "state hosts that send pulses")
        assertTrue(pulses[0] in 28..31 && pulses.drop(1).all { it in 9..11 }, "$pulses")
    }

    /**
     * Simulates a primary state host that stays connected and sends nothing for some seconds. Guards against servers
     * that are given up because the state host that renews them is silent. The pulses of the others and the reports
     * about a missing announcement each suffice alone.
     */
    @Test
    fun `no server is lost while the primary state host is silent`() {
        val cases = listOf(
            SiteTimes(),
            SiteTimes(renewalOverdueMs = Long.MAX_VALUE),
            SiteTimes(pulsesPerBackupPulse = Int.MAX_VALUE),
        )
        for (times in cases) {
            runTest {
                val servers = 20
                val site = site(entryHosts = 10, times)
                site.announceFor(servers, 1..5)
                val observed = site.services.getValue(OBSERVED)
                val primary = site.received.pulsesBySender.maxBy { it.value }.key
                site.links.delayMs = { from, to -> if (primary in listOf(from.hostName, to.hostName)) 60_000 else 1 }
                for (round in 6..15) {
                    site.announceFor(servers, round..round)
                    assertEquals(servers, observed.view.backendServers.size, "round $round, $times")
                }
            }
        }
    }

    /** Guards against a restart in which each entry host receives every document since the snapshot. */
    @Test
    fun `states that a state host installs in a moment are sent once`() = runTest {
        val site = site(entryHosts = 3)
        delay(3_000)
        for (index in 1L..40L) {
            val state = SiteState(index, DocumentRecord(index, "", byteArrayOf(1)), emptyList())
            stateHosts.forEach { site.services.getValue(it).install(state) }
        }
        delay(500)
        assertEquals(40, site.services.getValue(OBSERVED).view.state.index)
        assertTrue(site.received.states <= stateHosts.size, "${site.received.states} states")
    }

    /** Guards against a change that is lost with a connection and that no later message repairs. */
    @Test
    fun `a host that missed a change asks for it`() = runTest {
        val site = site(entryHosts = 3)
        site.announceFor(servers = 2, 1..3)
        val observed = site.services.getValue(OBSERVED)
        site.links.partition(listOf(OBSERVED), stateHosts, isCut = true)
        site.services.getValue(stateHosts[0]).announce(server(3, version = 1))
        delay(500)
        assertEquals(2, observed.view.backendServers.size)
        site.links.partition(listOf(OBSERVED), stateHosts, isCut = false)
        delay(2_000)
        assertEquals(3, observed.view.backendServers.size)
    }

    private companion object {
        const val OBSERVED = "10.2.0.1"
        const val LEASE_MS = 6_000L
        const val ANNOUNCEMENT_INTERVAL_MS = 1_200L
    }
}
