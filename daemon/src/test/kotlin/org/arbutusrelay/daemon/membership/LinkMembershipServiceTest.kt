package org.arbutusrelay.daemon.membership

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.InMemoryLinks
import org.arbutusrelay.schema.api.Announcement
import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.SuspectState
import org.arbutusrelay.schema.settings.PeerSettings
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

@OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)
class LinkMembershipServiceTest {
    @Test
    fun `hosts servers suspects and replaced epochs propagate to every host of the region`() = runTest {
        val links = InMemoryLinks(backgroundScope)
        val services = listOf("a", "b", "c").associateWith { host(links, it, epoch = 1) }
        val events = ArrayList<String>()
        services.getValue("c").addListener(object : MembershipListener {
            override fun onSuspect(suspect: SuspectState) {
                events += suspect.digest
            }

            override fun onHostReplaced(hostName: String, oldEpoch: Long) {
                events += "$hostName/$oldEpoch"
            }
        })
        delay(3_000)
        assertEquals(setOf("a", "b", "c"), services.getValue("c").entryHosts("x").hosts.map { it.hostName }.toSet())
        services.getValue("b").announce(announcement(isLeaving = false))
        services.getValue("b").reportSuspect(SuspectState("d1", 1, 0))
        delay(2_000)
        assertEquals(listOf("s"), services.getValue("c").availableBackendServers().map { it.name })
        services.getValue("a").announce(announcement(isLeaving = true))
        delay(200)
        assertTrue(services.values.all { it.availableBackendServers().isEmpty() }, "the leaving notice was late")
        host(links, "b", epoch = 2)
        delay(3_000)
        assertEquals(listOf("d1", "b/1"), events)
    }

    private fun announcement(isLeaving: Boolean) =
        Announcement("s", "drafting", "r", "z", "http://s", 1, if (isLeaving) 2 else 1, 4, isLeaving = isLeaving)

    private fun TestScope.host(links: InMemoryLinks, name: String, epoch: Long): LinkMembershipService {
        val state = HostState(name, "r", "z", epoch, 0, "$name:1", "http://$name", 1, 0, false, false, epoch)
        val peers = listOf("a", "b", "c").filter { it != name }.map { PeerSettings(it, "r", "z", "$it:1") }
        val network = links.start(HostIdentity(name, "r", "z", epoch))
        return LinkMembershipService(network, state, peers, backgroundScope, testTimeSource).also { it.start() }
    }
}
