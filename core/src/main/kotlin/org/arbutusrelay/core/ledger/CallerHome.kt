package org.arbutusrelay.core.ledger

/**
 * Home region of a caller, whose ledger holds the entries of the caller.
 *
 * [moves] lists the moves of the retention period, oldest first. Hosts may skip intermediate manifests, so the latest
 * manifest must list every move. A region that missed a move would export its entries before it had imported them.
 */
public data class CallerHome(
    /** Current home region. */
    public val region: String,
    public val moves: List<HomeMove> = emptyList(),
) {
    init {
        require(moves.isEmpty() || moves.last().to == region) { "the last move must end at the home region" }
        require(
            moves.zipWithNext().all { (a, b) ->
                a.to == b.from && a.number < b.number
            },
        ) { "each move must start where the previous one ended, with a higher manifest number" }
    }
}

/** Change of a caller's home region by the manifest with the given [number]. */
public data class HomeMove(public val number: Long, public val from: String, public val to: String) {
    init {
        require(number > 0) { "the manifest number must be positive" }
        require(from != to) { "a move must lead to another region" }
    }
}
