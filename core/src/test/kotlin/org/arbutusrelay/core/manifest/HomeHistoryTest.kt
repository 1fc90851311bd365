package org.arbutusrelay.core.manifest

import arrow.core.right
import org.arbutusrelay.schema.manifest.Caller
import org.arbutusrelay.schema.manifest.HomeMove
import org.arbutusrelay.schema.manifest.Manifest
import org.arbutusrelay.schema.manifest.RegionEntry
import org.arbutusrelay.schema.message.ManifestRecord
import org.arbutusrelay.schema.message.ReplicatedCommand
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against a home change that a region misses, because hosts may skip intermediate manifests. */
class HomeHistoryTest {
    private val texts = HashMap<String, Manifest>()
    private val day = 24L * 60 * 60 * 1_000

    @Test
    fun `the validator reports each kind of invalid move`() {
        val cases = listOf(
            caller("hue") to null,
            caller("da-nang", HomeMove(2, "hue", "da-nang")) to null,
            caller("hue", HomeMove(2, "hue", "da-nang"), HomeMove(3, "da-nang", "hue")) to null,
            caller("da-nang", HomeMove(4, "hue", "da-nang")) to "not published yet",
            caller("hue", HomeMove(2, "hue", "da-nang")) to "the moves end at da-nang",
            caller("hue", HomeMove(2, "hanoi", "hue")) to "unknown region hanoi",
            caller("hue", HomeMove(2, "hue", "hue")) to "moves nothing",
            caller("hue", HomeMove(1, "hue", "da-nang"), HomeMove(2, "quang-tri", "hue")) to "each move must start",
            caller("hue", HomeMove(2, "hue", "da-nang"), HomeMove(2, "da-nang", "hue")) to "each move must start",
        )
        for ((caller, expected) in cases) {
            val errors = ManifestValidator.errors(manifest(3, caller))
            assertEquals(expected == null, errors.isEmpty(), "$caller $errors")
            if (expected != null) assertTrue(errors.any { expected in it.message && "registry" in it.path }, "$errors")
        }
    }

    @Test
    fun `a home region change requires its move during the retention period`() {
        val move = HomeMove(2, "hue", "da-nang")
        val cases = listOf(
            Step(1, 0, caller("hue"), null),
            Step(2, 5, caller("da-nang"), "the move by manifest 2 from hue to da-nang must be named"),
            Step(2, 5, caller("da-nang", HomeMove(1, "hue", "da-nang")), "no accepted manifest made"),
            Step(2, 5, caller("hue", HomeMove(2, "da-nang", "hue")), "no accepted manifest made"),
            Step(2, 5, caller("da-nang", move), null),
            Step(3, 4 + day, caller("da-nang"), "must be named for another 1 ms"),
            Step(3, 4 + day, null, null),
            Step(4, 4 + day, caller("da-nang"), "must be named for another 1 ms"),
            Step(4, 4 + day, caller("hue", move, HomeMove(4, "da-nang", "hue")), null),
            Step(5, 5 + day, caller("hue", HomeMove(4, "da-nang", "hue")), null),
            Step(6, 5 + day, caller("hue", move, HomeMove(4, "da-nang", "hue")), "no accepted manifest made"),
            Step(6, 5 + day, null, null),
            Step(7, 4 + 2 * day, caller("quang-tri"), "must be named"),
            Step(7, 5 + 2 * day, caller("quang-tri"), null),
        )
        var log = ManifestLog { texts.getValue(it).right() }
        for (step in cases) {
            val decision = log.apply(1, ReplicatedCommand(manifest = record(step)))
            assertEquals(step.error == null, decision.errors.isEmpty(), "$step ${decision.errors}")
            step.error?.let { text ->
                assertTrue(decision.errors.any { text in it.message }, "$step ${decision.errors}")
            }
            log = ManifestLog { texts.getValue(it).right() }.also { it.restore(log.snapshot()) }
        }
    }

    @Test
    fun `the moves of a manifest connect it to every manifest accepted within the retention period`() {
        val random = Random(SEED)
        var rejectedCount = 0
        repeat(RUNS) { run ->
            val log = ManifestLog { texts.getValue(it).right() }
            val accepted = ArrayList<Pair<Long, Manifest>>()
            var atMs = 0L
            for (number in 1L..40L) {
                atMs += random.nextLong(day / 4)
                val step = Step(number, atMs, randomCaller(random, number, accepted.lastOrNull()?.second), null)
                val decision = log.apply(number, ReplicatedCommand(manifest = record(step)))
                if (decision.kind == ManifestDecision.Kind.ACCEPTED) {
                    accepted += atMs to texts.getValue(record(step).text)
                } else {
                    rejectedCount++
                }
            }
            accepted.forEach { (laterMs, later) ->
                accepted.filter { (ms, old) -> old.number < later.number && laterMs - ms < day }.forEach { (_, old) ->
                    assertConnected(old, later, "seed $SEED run $run")
                }
            }
        }
        assertTrue(rejectedCount in RUNS..39 * RUNS, "$rejectedCount of ${40 * RUNS} rejected")
    }

    private fun assertConnected(old: Manifest, later: Manifest, context: String) {
        val (from, to) = (old.callers.firstOrNull() ?: return) to (later.callers.firstOrNull() ?: return)
        val end = to.homeMoves.filter { it.number > old.number }.fold(from.homeRegion) { region, move ->
            assertEquals(region, move.from, "$context: $old $later")
            move.to
        }
        assertEquals(to.homeRegion, end, "$context: $old $later")
    }

    /** Returns the caller of a manifest that may omit or invent a move, or null when the caller is removed. */
    private fun randomCaller(random: Random, number: Long, last: Manifest?): Caller? {
        if (random.nextInt(8) == 0) return null
        val old = last?.callers?.firstOrNull() ?: caller("hue")
        val region = REGIONS.random(random)
        val own = HomeMove(number, old.homeRegion, region).takeIf { region != old.homeRegion && random.nextInt(5) > 0 }
        val kept = old.homeMoves.dropWhile { random.nextInt(3) == 0 }
        return Caller("registry", region, kept + listOfNotNull(own), tokenSha256 = emptyList())
    }

    private data class Step(val number: Long, val atMs: Long, val caller: Caller?, val error: String?)

    private fun record(step: Step): ManifestRecord {
        val manifest = if (step.caller == null) manifest(step.number) else manifest(step.number, step.caller)
        val text = manifest.toString().also { texts[it] = manifest }
        return ManifestRecord(step.number, ManifestText.digest(text), text, step.atMs)
    }

    private fun caller(home: String, vararg moves: HomeMove) =
        Caller("registry", home, moves.toList(), tokenSha256 = emptyList())

    private fun manifest(number: Long, vararg callers: Caller) =
        Manifest(number, REGIONS.map { RegionEntry(it, emptyList()) }, emptyList(), emptyList(), callers.toList())

    private companion object {
        const val SEED = 11
        const val RUNS = 200
        val REGIONS = listOf("hue", "da-nang", "quang-tri")
    }
}
