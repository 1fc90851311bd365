package org.arbutusrelay.samples

import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against guarantee violations that occur only when a complete site runs under injected failures. */
class SiteRunTest {
    @Test
    fun `a site keeps its guarantees under every kind of injected failure`() {
        val result = SiteRun(Path.of("registry"), seed = SEED, durationMs = 22_000, maxRequests = 1_500).run()
        println("site run, seed $SEED\n${result.table()}")
        assertEquals(emptyList(), result.failures, "seed $SEED")
    }

    private companion object {
        private const val SEED = 1L
    }
}
