package org.arbutusrelay.daemon.consensus

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import org.arbutusrelay.daemon.storage.MemoryConsensusStorage
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull

class VoterReturnTest {
    private val founders = listOf("a", "b", "c", "d", "e")
    private val newHost = "f"
    private val hosts = founders + newHost

    /** Guards against a replica that stays outside of the group because it never learns that it was removed. */
    @Test
    fun `a voter that was removed while it was away votes again`() = runTest {
        data class Case(val name: String, val isStopped: Boolean, val awayMs: Long)

        val cases = listOf(
            Case("cut off", isStopped = false, awayMs = 5_500),
            Case("cut off for long", isStopped = false, awayMs = 120_000),
            Case("stopped", isStopped = true, awayMs = 3_500),
        )
        for (case in cases) {
            Site(this).use { site -> checkReturn(site, case.isStopped, case.awayMs, "$case") }
        }
    }

    private suspend fun checkReturn(site: Site, isStopped: Boolean, awayMs: Long, case: String) {
        val away = site.follower()
        if (isStopped) site.stop(away) else site.fixture.cutOff(away)
        // Longer than replaceAfterMs, after which the leader removes an unreachable voter.
        delay(2_000)
        site.restart(newHost)
        delay(awayMs - 2_000)
        assertFalse(site.hasVoter(away), "$case: ${site.leader().voters}")
        if (isStopped) site.restart(away) else site.fixture.reconnect(away)
        delay(10_000)
        assertEquals(hosts.toSet(), site.leader().voterHosts, "$case: ${site.leader().voters}")
        site.loseTwoDisksOneByOne()
        val result = withTimeoutOrNull(5_000) { site.leader().propose(site.fixture.command(7)).getOrNull() }
        assertNotNull(result, case)
    }

    /** Replicas with the options of a site, of which [newHost] is not started yet; [replicas] is keyed by host. */
    private inner class Site(private val scope: TestScope) {
        val fixture = ReplicaGroupFixture(hosts)
        private val options = ReplicaGroupOptions(replaceAfterMs = 1_500, transferWaitMs = 1_500)
        private val storages = hosts.associateWith { MemoryConsensusStorage() }.toMutableMap()
        private val replicas = founders.associateWith { start(it, founders) }.toMutableMap()

        suspend fun leader() = fixture.awaitLeader(replicas.values)

        suspend fun hasVoter(host: String) = host in leader().voterHosts

        suspend fun follower(except: String? = null): String {
            val leader = leader()
            return replicas.keys.first { it != except && replicas[it] !== leader }
        }

        suspend fun stop(host: String) {
            replicas.getValue(host).stop()
            fixture.cutOff(host)
        }

        fun restart(host: String) {
            fixture.reconnect(host)
            replicas[host] = start(host, null)
        }

        suspend fun replaceDisk(host: String) {
            stop(host)
            storages[host] = MemoryConsensusStorage()
            restart(host)
        }

        /** Loses the disks of two hosts that are not the leader, as many as the group must survive. */
        suspend fun loseTwoDisksOneByOne() {
            val lost = follower()
            replaceDisk(lost)
            replaceDisk(follower(except = lost))
            delay(5_000)
        }

        /** Virtual time does not end while a replica runs. */
        suspend fun use(action: suspend (Site) -> Unit) = try {
            action(this)
        } finally {
            replicas.values.forEach { it.stop() }
        }

        private fun start(host: String, foundingVoters: List<String>?) =
            fixture.startReplica(scope, host, storages.getValue(host), foundingVoters, options)
    }
}
