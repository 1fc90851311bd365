package org.arbutusrelay.daemon

import org.arbutusrelay.core.routing.RequestProfile
import org.arbutusrelay.core.routing.RequestScheduler
import org.arbutusrelay.daemon.request.LocalRequestScheduler
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Guards against retries of one request that each crash another backend server. */
class CrashSuspectRetryTest {
    private class RecordingScheduler(private val delegate: RequestScheduler = LocalRequestScheduler("hue", 100)) :
        RequestScheduler by delegate {
        val isIsolated = CopyOnWriteArrayList<Boolean>()

        override fun submit(profile: RequestProfile, nowMs: Long) =
            delegate.submit(profile, nowMs).also { isIsolated += profile.isIsolated }
    }

    @Test
    fun `a retry after a crash runs in isolation and the second crash is not followed by a retry`() {
        val engines = List(4) { StubBackendServer { reset() } }
        val scheduler = RecordingScheduler()
        TestDaemon(scheduler = scheduler).use { daemon ->
            engines.forEachIndexed { index, engine -> daemon.announce("engine-$index", "draft", engine.address) }
            val first = daemon.chat()
            assertEquals(502, first.statusCode(), first.body())
            assertEquals(listOf(false, true), scheduler.isIsolated.toList())
            assertEquals(2, engines.sumOf { it.count("POST") })
            val resent = daemon.chat()
            assertContains(resent.body(), "request_suspected")
            assertEquals(2, engines.sumOf { it.count("POST") })
        }
        engines.forEach(StubBackendServer::close)
    }
}
