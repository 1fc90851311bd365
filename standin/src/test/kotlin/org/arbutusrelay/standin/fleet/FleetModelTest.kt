package org.arbutusrelay.standin.fleet

import org.arbutusrelay.core.routing.FirstByteServerSelector
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class FleetModelTest {
    private fun run(hosts: Int, loadPermille: Int, seed: Long = 3): FleetModel {
        val spec = FleetSpec.unevenPeak(hosts, loadPermille).copy(durationMs = 12_000.0, warmUpMs = 4_000.0)
        return FleetModel(spec, { FirstByteServerSelector() }, seed).run()
    }

    /** Returns the share of the requests of each kind that are in time, as the mean of three seeds. */
    private fun inTime(hosts: Int, loadPermille: Int): Map<String, Double> {
        val runs = (1L..3L).map { run(hosts, loadPermille, it) }
        return runs.flatMap { it.tallies.entries }.groupBy({ it.key }, { it.value.share(it.value.inTime) })
            .mapValues { (_, shares) -> shares.average() }
    }

    /**
     * Replays a region at its peak beside two calm ones: the same load through few and through many hosts. Guards
     * against hosts that hold requests back, spread prompts over all engines or forward in vain, because each of them
     * sees only a small part of the load.
     */
    @Test
    fun `many hosts serve nearly as much in time as few hosts do`() {
        for (loadPermille in listOf(300, 470, 600)) {
            val few = inTime(hosts = 3, loadPermille)
            for ((kind, share) in inTime(hosts = 29, loadPermille)) {
                assertTrue(share >= few.getValue(kind) * MIN_SHARE_OF_FEW_HOSTS, "$kind at $loadPermille: $share")
            }
        }
    }

    /** Guards against a model that loses requests, which would make any policy look better or worse than it is. */
    @Test
    fun `runs with the same seed have the same results and end every request`() {
        val results = List(2) { run(hosts = 5, loadPermille = 650) }
        val tallies = results.map { model ->
            model.tallies.values.map { listOf(it.arrivals, it.inTime, it.served, it.refused, it.ended) }
        }
        assertEquals(tallies[0], tallies[1])
        results[0].tallies.values.forEach { assertEquals(it.arrivals, it.ended) }
    }

    /** Guards against requests that reach an engine during the pause that it has asked for, and are refused for it. */
    @Test
    fun `hosts that observe pauses send nothing to an engine that asked for one`() {
        val runs = listOf(true, false).associateWith { isObserved ->
            val spec = FleetSpec.unevenPeak(hosts = 10, loadPermille = 300).copy(
                durationMs = 12_000.0,
                warmUpMs = 4_000.0,
                shedding = SheddingSpec(isPauseObserved = isObserved),
            )
            FleetModel(spec, { FirstByteServerSelector() }, seed = 3).run()
        }
        runs.values.flatMap { it.tallies.values }.forEach { assertEquals(it.arrivals, it.ended) }
        fun refused(isObserved: Boolean) = runs.getValue(isObserved).tallies.values.sumOf { it.refused }
        assertEquals(0, runs.getValue(true).shedding?.sentLateInPause)
        assertTrue(refused(isObserved = true) < refused(isObserved = false))
    }

    private companion object {
        const val MIN_SHARE_OF_FEW_HOSTS = 0.9
    }
}
