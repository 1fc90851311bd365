package org.arbutusrelay.daemon.manifest

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.manifest.ManifestDecision
import org.arbutusrelay.core.manifest.ManifestError
import org.arbutusrelay.core.manifest.ManifestLog
import org.arbutusrelay.core.manifest.ManifestPeers
import org.arbutusrelay.core.manifest.ManifestText
import org.arbutusrelay.daemon.consensus.ConsensusGroup
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.InMemoryLinks
import org.arbutusrelay.daemon.membership.LinkMembershipService
import org.arbutusrelay.schema.api.ManifestPublishResult.Decision
import org.arbutusrelay.schema.manifest.Caller
import org.arbutusrelay.schema.manifest.Manifest
import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.ManifestRecord
import org.arbutusrelay.schema.message.ReplicatedCommand
import org.arbutusrelay.schema.settings.PeerSettings
import java.nio.file.Files
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

@OptIn(ExperimentalCoroutinesApi::class)
class LinkManifestServiceTest {
    private val logs = listOf("s0", "s1", "s2").associateWith { ManifestLog(::parse) }
    private var index = 0L

    @Test
    fun `a manifest published on any host is in force on all hosts and decided once`() = runTest {
        val links = InMemoryLinks(backgroundScope)
        val services = NAMES.associateWith { host(links, it) }
        delay(3_000)
        val diskless = services.getValue("d")
        assertEquals(Decision.ACCEPTED, diskless.publish("2 first").getOrNull()?.decision)
        delay(5_000)
        assertEquals(setOf<String?>("2 first"), services.values.map { it.text }.toSet())
        val cases = listOf(
            "2 first" to Decision.ACCEPTED,
            "2 other" to Decision.DIGEST_CONFLICT,
            "1 old" to Decision.STALE_NUMBER,
            "3 next" to Decision.ACCEPTED,
        )
        for ((text, decision) in cases) {
            assertEquals(decision, services.getValue("s1").publish(text).getOrNull()?.decision, text)
        }
        assertTrue(diskless.awaitNumber(3, 2_000))
        delay(15_000)
        assertEquals(setOf(0L), services.getValue("s2").status().hosts.map { it.lag }.toSet())
        assertEquals(ErrorKind.MANIFEST_INVALID, diskless.publish("bad").leftOrNull()?.kind)
    }

    /** Guards against a rejection by the group that is returned as another error or without the caller name. */
    @Test
    fun `a home region change without a move is rejected with the caller name`() = runTest {
        val links = InMemoryLinks(backgroundScope)
        val services = NAMES.associateWith { host(links, it) }
        delay(3_000)
        assertEquals(Decision.ACCEPTED, services.getValue("d").publish("1 registry:hue").getOrNull()?.decision)
        val error = services.getValue("d").publish("2 registry:hanoi").leftOrNull()
        assertEquals(ErrorKind.MANIFEST_INVALID, error?.kind)
        assertTrue(error?.detail.orEmpty().contains("callers[registry]"), "$error")
        assertEquals(setOf(1L), logs.values.map { it.accepted?.number }.toSet())
    }

    @Test
    fun `a stored manifest is loaded after a restart`() = runTest {
        val folder = Files.createTempDirectory("manifest")
        val record = ManifestRecord(3, ManifestText.digest("x"), "x")
        FileManifestStore(folder).save(record)
        assertEquals(record, FileManifestStore(folder).load())
        folder.toFile().deleteRecursively()
    }

    private fun TestScope.host(links: InMemoryLinks, name: String): LinkManifestService {
        val isStateHost = name in logs
        val network = links.start(HostIdentity(name, "r", "z", 1))
        val state = HostState(name, "r", "z", 1, 0, "$name:1", "http://$name", 0, 0, false, isStateHost, 1)
        val peers = (NAMES - name).map { PeerSettings(it, "r", "z", "$it:1") }
        val membership = LinkMembershipService(network, state, peers, backgroundScope, testTimeSource)
        val voter = logs[name]?.let { ManifestVoter(FakeGroup(name), it) }
        val service = LinkManifestService(
            network, membership, ManifestPeers(name, isStateHost, logs.keys), logs.keys.toList(), ::parse,
            if (isStateHost) InMemoryStore() else null, voter, backgroundScope, testTimeSource,
        )
        membership.start()
        service.start()
        return service
    }

    private fun parse(text: String): Either<List<ManifestError>, Manifest> =
        text.substringBefore(' ').toLongOrNull()?.let { number ->
            val homes = text.split(' ').filter { ':' in it }.map { it.split(':') }
            val callers = homes.map { (name, region) -> Caller(name, region, tokenSha256 = emptyList()) }
            Manifest(number, emptyList(), emptyList(), emptyList(), callers).right()
        } ?: emptyList<ManifestError>().left()

    private class InMemoryStore : ManifestStore {
        private var record: ManifestRecord? = null

        override fun load(): ManifestRecord? = record

        override suspend fun save(record: ManifestRecord) {
            delay(2)
            this.record = record
        }
    }

    /** Fake group: `s0` is the leader, and all replicas apply its commands. */
    private inner class FakeGroup(private val self: String) : ConsensusGroup<ManifestDecision> {
        override val name = "manifest"
        override val leaderName = "s0"
        override val term = 1L

        override fun isLeaseHeld() = self == leaderName

        override suspend fun propose(command: ReplicatedCommand): Either<RelayError, ManifestDecision> {
            if (!isLeaseHeld()) return RelayError(ErrorKind.MANIFEST_GROUP_UNAVAILABLE).left()
            delay(5)
            return logs.values.map { it.apply(++index, command) }.first().right()
        }

        override fun addListener(listener: (Long, ManifestDecision) -> Unit) = Unit

        override suspend fun transferLeadership() = Unit
    }

    private companion object {
        val NAMES = listOf("s0", "s1", "s2", "d")
    }
}
