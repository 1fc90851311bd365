package org.arbutusrelay.samples

import org.arbutusrelay.schema.settings.DaemonSettings
import org.arbutusrelay.schema.settings.LoadClass
import java.nio.file.Path
import java.security.MessageDigest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against samples that fail to parse or whose files are inconsistent. */
class SampleTest {
    private val samples = listOf("registry", "utility").associateWith { Sample(Path.of(it)) }

    @Test
    fun `each sample has three regions with three three and two hosts`() = samples.forEach { (name, sample) ->
        val regions = sample.manifest.regions.map { it.name }
        assertEquals(listOf(3, 3, 2), regions.map { region -> sample.hosts.count { it.region == region } }, name)
        assertEquals(3, sample.manifest.links.size, name)
        sample.manifest.links.forEach {
            assertEquals(55, it.oneWayDelayMs, name)
            assertEquals(1_500_000_000, it.capacityBitsPerSecond, name)
        }
        sample.hosts.forEach { host ->
            val region = sample.manifest.regions.first { it.name == host.region }
            assertTrue(host.availabilityZone in region.availabilityZones, "$name ${host.hostName}")
        }
    }

    @Test
    fun `the settings of all hosts are consistent`() = samples.forEach { (name, sample) ->
        sample.hosts.forEach { host ->
            val others = sample.hosts.filter { it.hostName != host.hostName }
            assertEquals(others.map { it.hostName }.toSet(), host.peers.map { it.hostName }.toSet(), name)
            host.peers.forEach { peer ->
                val settings = others.first { it.hostName == peer.hostName }
                assertEquals(settings.region, peer.region, "$name ${host.hostName}")
                assertEquals(settings.availabilityZone, peer.availabilityZone, "$name ${host.hostName}")
                assertEquals("${settings.bindAddress}:${settings.linkPort}", peer.address, "$name ${host.hostName}")
                assertEquals(settings.dataFolder != null, peer.isStateHost, "$name ${host.hostName}")
            }
            assertVoters(host, sample.hosts)
        }
        assertEquals(1, sample.hosts.map { it.manifestVoters }.distinct().size, name)
    }

    @Test
    fun `each load class matches a caller and a request kind of the manifest`() = samples.forEach { (name, sample) ->
        sample.workload.classes.forEach { loadClass ->
            assertEquals(1, sample.manifest.callers.count { sha256(loadClass.token) in it.tokenSha256 }, name)
            val service = sample.manifest.services.single { it.name == loadClass.service }
            val kind = service.kinds.single { it.name == loadClass.kind }
            assertEquals(kind.isIdempotent, loadClass.isIdempotent, "$name ${loadClass.name}")
            assertEquals(kind.waits.maxOf { it.waitMs }, loadClass.waitMs, "$name ${loadClass.name}")
            assertEquals(service.type.name == "ENGINE", loadClass.type == LoadClass.Type.CHAT, name)
        }
    }

    @Test
    fun `waits vary by hour in the time zone of the sample`() {
        val zones = samples.mapValues { (_, sample) -> sample.manifest.services.map { it.timeZone }.toSet() }
        assertEquals(mapOf("registry" to setOf("Asia/Ho_Chi_Minh"), "utility" to setOf("Asia/Almaty")), zones)
        val kinds = samples.values.flatMap { it.manifest.services }.flatMap { it.kinds }
        kinds.forEach { kind -> assertTrue(kind.waits.map { it.waitMs }.distinct().size > 1, kind.name) }
        assertEquals(setOf("posting", "issuance"), kinds.filterNot { it.isIdempotent }.map { it.name }.toSet())
    }

    private fun assertVoters(host: DaemonSettings, all: List<DaemonSettings>) {
        val stateHosts = all.filter { it.dataFolder != null }.associateBy { it.hostName }
        assertTrue(stateHosts.keys.containsAll(host.manifestVoters), host.hostName)
        val voterRegions = host.manifestVoters.map { stateHosts.getValue(it).region }
        voterRegions.groupingBy { it }.eachCount().values.forEach { count ->
            assertTrue(2 * count < voterRegions.size, "losing one region leaves the manifest group without a majority")
        }
        assertEquals(stateHosts.values.filter { it.region == host.region }.map { it.hostName }, host.ledgerVoters)
    }

    private fun sha256(text: String): String =
        MessageDigest.getInstance("SHA-256").digest(text.toByteArray()).joinToString("") { "%02x".format(it) }
}
