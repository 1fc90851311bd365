package org.arbutusrelay.core.ledger

/**
 * Where the manifest places the ledger entries of a caller.
 *
 * [moves] holds the moves of the retention period, oldest first. Hosts skip intermediate manifests, so the latest one
 * must name every move: a region that never saw a move would otherwise hand over entries that it had not yet received.
 */
public data class CallerHome(
    /** Home region in force. */
    public val region: String,
    public val moves: List<HomeMove> = emptyList(),
) {
    init {
        require(moves.isEmpty() || moves.last().to == region) { "the last move must lead to the home region" }
        require(
            moves.zipWithNext().all { (a, b) ->
                a.to == b.from && a.number < b.number
            },
        ) { "moves must form a chain" }
    }
}

/** A move of a caller's home region by the manifest with the given [number]. */
public data class HomeMove(public val number: Long, public val from: String, public val to: String) {
    init {
        require(number > 0) { "the manifest number must be positive" }
        require(from != to) { "a move needs two regions" }
    }
}
