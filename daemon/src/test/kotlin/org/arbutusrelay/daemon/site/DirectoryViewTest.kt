package org.arbutusrelay.daemon.site

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.arbutusrelay.core.site.DirectoryQuery
import org.arbutusrelay.core.site.DirectoryScope
import org.arbutusrelay.core.site.EntryHostDirectory
import org.arbutusrelay.core.site.NameHomes
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.InMemoryLinks
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** What several state hosts answer callers while all entry hosts run and only the state hosts are disturbed. */
@OptIn(ExperimentalCoroutinesApi::class)
class DirectoryViewTest {
    private val regions = listOf("1", "2", "3")
    private val stateHosts = regions.map { "10.$it.0.1" }
    private val entryHosts = regions.flatMap { region -> List(HOSTS_PER_REGION) { "10.$region.1.${it + 1}" } }

    /** For each state host, the time for which it directed callers of a region with hosts elsewhere, by scope. */
    private class Wrong(val msByScope: Map<DirectoryScope, Long>, val partialMs: Long)

    private inner class Site(val scope: TestScope) {
        val random = Random(SEED)
        val lateUntilMs = HashMap<String, Long>()
        val links = InMemoryLinks(scope.backgroundScope, delayMs = { from, to ->
            val lateMs = maxOf(lateUntilMs[from.hostName] ?: 0, lateUntilMs[to.hostName] ?: 0) - nowMs
            // Frames on one link keep their order, so that the delay is constant or ends at the same time.
            if (lateMs > 0) {
                lateMs
            } else if (from.region == to.region) {
                1
            } else {
                40
            }
        })
        val services = HashMap<String, SiteService>()
        private val jobs = HashMap<String, Job>()
        private var epoch = 0L

        val nowMs get() = scope.testScheduler.currentTime

        fun start(name: String) {
            jobs.remove(name)?.cancel()
            val region = name.split('.')[1]
            val isState = name in stateHosts
            val identity = HostIdentity(name, region, "$region-a", ++epoch)
            val self = identity.initialState("$name:1", isState)
                .let { if (isState) it else it.copy(callerAddress = "$name:80") }
            val job = Job(scope.backgroundScope.coroutineContext[Job]).also { jobs[name] = it }
            services[name] =
                SiteService(links.start(identity), self, stateHosts, 1, RelayClock(scope.testScheduler.timeSource))
            val process = CoroutineScope(scope.backgroundScope.coroutineContext + job)
            val service = services.getValue(name)
            service.confirmState()
            service.start(process)
        }

        fun kill(name: String) {
            links.stop(name)
            jobs.remove(name)?.cancel()
        }

        /** Samples the answers of the state hosts that run for [durationMs]. */
        suspend fun observe(durationMs: Long, isAsked: (String) -> Boolean = { true }): Map<String, Wrong> {
            val scopes = HashMap<String, HashMap<DirectoryScope, Long>>()
            val partial = HashMap<String, Long>()
            repeat((durationMs / STEP_MS).toInt()) {
                delay(STEP_MS)
                for (name in stateHosts.filter(isAsked)) {
                    val answers = regions.map { region ->
                        val query = DirectoryQuery("x", region, "")
                        val service = services.getValue(name)
                        val homes = if (service.isViewWhole) NameHomes.Any else NameHomes.Unknown
                        EntryHostDirectory.select(service.view.hosts, query, homes)
                    }
                    answers.filterNot { it.scope.isNear }.map { it.scope }.toSet()
                        .forEach { scopes.getOrPut(name) { HashMap() }.merge(it, STEP_MS, Long::plus) }
                    if (answers.any { it.scope.isNear && it.hosts.size < HOSTS_PER_REGION / 2 }) {
                        partial.merge(name, STEP_MS, Long::plus)
                    }
                }
            }
            return stateHosts.associateWith { Wrong(scopes[it].orEmpty(), partial[it] ?: 0) }
        }
    }

    private fun site(test: suspend Site.() -> Unit) = runTest {
        val site = Site(this)
        (stateHosts + entryHosts).forEach {
            site.start(it)
            delay(site.random.nextLong(20))
        }
        delay(5_000)
        site.test()
    }

    /** Checks that no caller is directed elsewhere, that [affected] alone is incomplete, for at most [maxPartialMs]. */
    private fun check(wrong: Map<String, Wrong>, affected: List<String>, maxPartialMs: Long) {
        for ((name, it) in wrong) {
            assertEquals(null, it.msByScope[DirectoryScope.OTHER_REGION], "$name directs callers elsewhere")
            if (name !in affected) assertEquals(emptyMap(), it.msByScope, name)
            assertTrue(it.partialMs <= if (name in affected) maxPartialMs else 0, "$name: ${it.partialMs} ms")
        }
    }

    /** Guards against a starting state host that directs callers elsewhere until it has heard of their region. */
    @Test
    fun `one state host restarts`() = site {
        kill(stateHosts[0])
        delay(1_000)
        start(stateHosts[0])
        check(observe(6_000), stateHosts.take(1), maxPartialMs = 200)
    }

    /** Guards against the same when no other state host can tell a starting one of the entry hosts. */
    @Test
    fun `all state hosts restart`() = site {
        stateHosts.forEach(::kill)
        delay(1_000)
        stateHosts.forEach { start(it) }
        check(observe(6_000), stateHosts, maxPartialMs = 300)
    }

    /** Guards against a starved state host that forgets all hosts and hears of them one after the other. */
    @Test
    fun `a state host reads its links late`() = site {
        lateUntilMs[stateHosts[0]] = nowMs + 5_000
        check(observe(5_000) { it != stateHosts[0] }, emptyList(), maxPartialMs = 0)
        check(observe(6_000), stateHosts.take(1), maxPartialMs = 200)
    }

    /** Guards against a state host that takes a region that it cannot reach for one without hosts. */
    @Test
    fun `a state host is cut off from a region`() = site {
        val second = (stateHosts + entryHosts).filter { it.startsWith("10.2.") }
        links.partition(stateHosts.take(1), second, isCut = true)
        check(observe(8_000), emptyList(), maxPartialMs = 0)
        links.partition(stateHosts.take(1), second, isCut = false)
        check(observe(6_000), emptyList(), maxPartialMs = 0)
    }

    /** Guards against a state host that is alone and sees regions end one after the other. */
    @Test
    fun `a state host is cut off from all`() = site {
        val others = (stateHosts + entryHosts) - stateHosts[0]
        links.partition(stateHosts.take(1), others, isCut = true)
        check(observe(8_000), stateHosts.take(1), maxPartialMs = 1_000)
        links.partition(stateHosts.take(1), others, isCut = false)
        check(observe(6_000), stateHosts.take(1), maxPartialMs = 200)
    }

    private companion object {
        const val HOSTS_PER_REGION = 60
        const val STEP_MS = 10L
        const val SEED = 1L
    }
}
