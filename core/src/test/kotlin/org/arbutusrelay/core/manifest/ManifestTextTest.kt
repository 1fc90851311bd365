package org.arbutusrelay.core.manifest

import arrow.core.right
import org.arbutusrelay.schema.manifest.Manifest
import org.arbutusrelay.schema.message.ManifestRecord
import org.arbutusrelay.schema.message.ReplicatedCommand
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class ManifestTextTest {
    @Test
    fun `applying a difference yields the target for random edits and null for another base`() {
        val random = Random(SEED)
        repeat(2_000) { round ->
            val old = List(random.nextInt(30)) { "line ${random.nextInt(20)}" }
            val new = old.toMutableList()
            repeat(random.nextInt(6)) {
                if (new.isNotEmpty() && random.nextBoolean()) new.removeAt(random.nextInt(new.size))
                new.add(random.nextInt(new.size + 1), "line ${random.nextInt(40)}")
            }
            val (base, target) = record(1, old.joinToString("\n")) to record(2, new.joinToString("\n"))
            val delta = ManifestText.difference(base, target)
            assertEquals(target, ManifestText.apply(base, delta), "seed $SEED round $round")
            assertNull(ManifestText.apply(record(1, base.text + "\nother"), delta))
        }
    }

    @Test
    fun `separate changed lines yield one edit each`() {
        val lines = List(1_000) { "key$it = 1" }
        val new = lines.toMutableList().also {
            it[10] = "key10 = 2"
            it[900] = "key900 = 2"
        }
        val delta = ManifestText.difference(record(1, lines.joinToString("\n")), record(2, new.joinToString("\n")))
        assertEquals(2, delta.edits.sumOf { it.addedLines.size })
    }

    @Test
    fun `the log applies the four publication rules also after a snapshot is restored`() {
        val parser = ManifestParser { if (it == "c") manifest(6).right() else manifest(5).right() }
        val first = record(5, "a")
        val cases = listOf(
            first to ManifestDecision.Kind.ACCEPTED,
            first to ManifestDecision.Kind.ACCEPTED,
            record(5, "b") to ManifestDecision.Kind.DIGEST_CONFLICT,
            record(4, "a") to ManifestDecision.Kind.STALE_NUMBER,
            record(6, "c").copy(digest = "wrong") to ManifestDecision.Kind.DIGEST_CONFLICT,
        )
        var log = ManifestLog(parser)
        cases.forEachIndexed { i, (record, kind) ->
            assertEquals(kind, log.apply(i + 1L, ReplicatedCommand(manifest = record)).kind, "case $i")
            assertEquals(first, log.accepted)
            log = ManifestLog(parser).also { it.restore(log.snapshot()) }
        }
    }

    private fun manifest(number: Long) = Manifest(number, emptyList(), emptyList(), emptyList(), emptyList())

    private fun record(number: Long, text: String) = ManifestRecord(number, ManifestText.digest(text), text)

    private companion object {
        const val SEED = 7L
    }
}
