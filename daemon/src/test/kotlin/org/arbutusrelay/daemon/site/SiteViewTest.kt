package org.arbutusrelay.daemon.site

import org.arbutusrelay.core.site.SiteStateMachine
import org.arbutusrelay.schema.message.HostState
import kotlin.test.Test
import kotlin.test.assertEquals

class SiteViewTest {
    private fun host(name: String, region: String, isLeaving: Boolean = false, address: String = "$name:80") =
        HostState(name, region, "$region-a", 1, 1, "", address, 0, 0, isLeaving, false)

    /** Guards against a region that is out of use while its last hosts, which stop, still accept requests. */
    @Test
    fun `requests are forwarded to stopping hosts only where a region has no others`() {
        val cases = mapOf(
            listOf(host("a", "hue"), host("b", "hue")) to setOf("a", "b"),
            listOf(host("a", "hue"), host("b", "hue", isLeaving = true)) to setOf("a"),
            listOf(host("a", "hue", isLeaving = true), host("b", "hue", isLeaving = true)) to setOf("a", "b"),
            listOf(host("a", "hue", isLeaving = true), host("b", "danang")) to setOf("a", "b"),
            listOf(host("a", "hue", isLeaving = true, address = "")) to emptySet(),
            listOf(host("a", "hue", address = ""), host("b", "hue", isLeaving = true)) to setOf("b"),
        )
        for ((hosts, expected) in cases) {
            val view = SiteView(SiteStateMachine.EMPTY, hosts, emptyList(), 0)
            assertEquals(expected, view.forwardHosts.map { it.hostName }.toSet(), "$hosts")
        }
    }
}
