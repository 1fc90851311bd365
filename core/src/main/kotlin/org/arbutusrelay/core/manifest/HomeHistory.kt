package org.arbutusrelay.core.manifest

import kotlinx.serialization.Serializable
import org.arbutusrelay.schema.manifest.Caller
import org.arbutusrelay.schema.manifest.HomeMove
import org.arbutusrelay.schema.manifest.Manifest

/**
 * The home regions of callers and the accepted moves, as part of the replicated state of the manifest group.
 *
 * A caller that is removed from the manifest is kept for the retention period. Otherwise its home could change without
 * a move, by removing the caller and adding it again.
 */
internal class HomeHistory(homes: List<KnownHome>) {
    val homes: List<KnownHome> = homes.sortedBy { it.caller }
    private val byCaller = homes.associateBy { it.caller }

    /** Returns the errors that prevent acceptance of [manifest] at group time [atMs]; empty when there are none. */
    fun errors(manifest: Manifest, atMs: Long): List<ManifestError> = manifest.callers.flatMap { caller ->
        val error = { text: String -> ManifestError("callers[${caller.name}].homeMoves", text) }
        val known = byCaller[caller.name]?.takeUnless { it.isExpired(atMs) }
        if (known ==
            null
        ) {
            listOfNotNull(newCallerError(caller)).map(error)
        } else {
            errors(caller, known, manifest, atMs).map(error)
        }
    }

    /** Returns the history after accepting [manifest] at group time [atMs]. */
    fun afterAccepting(manifest: Manifest, atMs: Long): HomeHistory {
        val present = manifest.callers.map { it.toKnownHome(atMs) }
        val names = present.mapTo(HashSet()) { it.caller }
        val absent = homes.filter { it.caller !in names && !it.isExpired(atMs) }
            .map { if (it.absentSinceMs == null) it.copy(absentSinceMs = atMs) else it }
        return HomeHistory(present + absent)
    }

    private fun newCallerError(caller: Caller): String? =
        if (caller.homeMoves.isEmpty()) null else "a caller that is new in this manifest cannot have moved"

    private fun errors(caller: Caller, known: KnownHome, manifest: Manifest, atMs: Long): List<String> = buildList {
        known.moves.filter { it.isRetained(atMs) && it.toMove() !in caller.homeMoves }.forEach {
            val remainingMs = it.acceptedMs + RETENTION_MS - atMs
            add("${it.toMove().toText()} must be named for another $remainingMs ms")
        }
        val currentMove = HomeMove(manifest.number, known.region, caller.homeRegion)
        val requiredMoves = if (known.region == caller.homeRegion) emptyList() else listOf(currentMove)
        val newMoves = caller.homeMoves - known.moves.map { it.toMove() }.toSet()
        (requiredMoves - newMoves.toSet()).forEach { add("homeRegion changes, so ${it.toText()} must be named") }
        (newMoves - requiredMoves.toSet()).forEach { add("no accepted manifest made ${it.toText()}") }
    }

    private fun Caller.toKnownHome(atMs: Long): KnownHome {
        val acceptedMs = byCaller[name]?.moves.orEmpty().associate { it.number to it.acceptedMs }
        return KnownHome(
            name,
            homeRegion,
            homeMoves.map {
                KnownMove(
                    it.number,
                    it.from,
                    it.to,
                    acceptedMs[it.number] ?: atMs,
                )
            },
        )
    }

    private fun HomeMove.toText() = "the move by manifest $number from $from to $to"

    /** Home region of a caller; [absentSinceMs] is set while the accepted manifest does not contain the caller. */
    @Serializable
    data class KnownHome(
        val caller: String,
        val region: String,
        val moves: List<KnownMove>,
        val absentSinceMs: Long? = null,
    ) {
        fun isExpired(atMs: Long): Boolean = absentSinceMs != null && atMs - absentSinceMs >= RETENTION_MS
    }

    /** A move and the group time at which its manifest was accepted. */
    @Serializable
    data class KnownMove(val number: Long, val from: String, val to: String, val acceptedMs: Long) {
        fun isRetained(atMs: Long): Boolean = atMs - acceptedMs < RETENTION_MS

        fun toMove(): HomeMove = HomeMove(number, from, to)
    }

    companion object {
        /** Retention of ledger entries: a region that missed the move could grant a key held by the former home. */
        const val RETENTION_MS = 24L * 60 * 60 * 1_000
    }
}
