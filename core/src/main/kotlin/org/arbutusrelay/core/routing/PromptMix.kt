package org.arbutusrelay.core.routing

import kotlin.math.abs
import kotlin.math.roundToInt
import kotlin.math.sqrt

/**
 * Separates the long prompts of one service from the short ones, and measures the part of the prefill work that the
 * long ones cause.
 *
 * The bound between them is the geometric mean of the mean lengths of both kinds, so that it stays where it is while
 * only the mix changes. Lengths count without the shared tokens, which are usually cached; this makes the bound the
 * same on all hosts. The time for which short prompts occupy slots does not count: with it the set was too small for
 * the shared parts of long prompts (docs/measurements/prompts.md).
 */
internal class PromptMix {
    /** What the placements so far tell; immutable. */
    class State(
        /** Prompts with more tokens of their own are long. */
        val boundTokens: Double,
        /** Servers preferred for long prompts; 0 while the prompts are not to be separated. */
        val longServers: Int,
    )

    /** Exponentially weighted sums over the requests of one kind. */
    private class Sums {
        var requests = 0.0
        var tokens = 0.0
        var uncachedTokens = 0.0
        val meanTokens: Double get() = tokens / requests

        fun decay() {
            requests *= DECAY
            tokens *= DECAY
            uncachedTokens *= DECAY
        }
    }

    private val long = Sums()
    private val short = Sums()
    private var placementsSinceChange = 0

    @Volatile
    var state: State = State(Double.MAX_VALUE, 0)
        private set

    /** Records a request with [ownTokens] that prefills [uncachedTokens] on one of [servers] backend servers. */
    @Synchronized
    fun record(ownTokens: Int, uncachedTokens: Int, servers: Int) {
        long.decay()
        short.decay()
        val sums = if (ownTokens > state.boundTokens) long else short
        sums.requests += 1.0
        sums.tokens += ownTokens.toDouble()
        sums.uncachedTokens += uncachedTokens.toDouble()
        placementsSinceChange++
        state = State(boundTokens(), if (isSeparable(servers)) nextSize(servers) else 0)
    }

    /** Uses the mean of all prompts while one kind is missing, so that any two lengths are told apart. */
    private fun boundTokens(): Double {
        val requests = long.requests + short.requests
        val hasBothKinds = minOf(long.requests, short.requests) >= requests * MIN_KIND_SHARE
        return if (hasBothKinds) sqrt(long.meanTokens * short.meanTokens) else (long.tokens + short.tokens) / requests
    }

    private fun isSeparable(servers: Int): Boolean {
        val requests = long.requests + short.requests
        return servers >= MIN_SERVERS && requests >= MIN_REQUESTS &&
            minOf(long.requests, short.requests) >= requests * MIN_KIND_SHARE &&
            long.meanTokens >= short.meanTokens * MIN_LENGTH_RATIO
    }

    private fun nextSize(servers: Int): Int {
        val wanted = servers * long.uncachedTokens / (long.uncachedTokens + short.uncachedTokens)
        val size = state.longServers
        val next = when {
            size == 0 -> wanted.roundToInt()
            placementsSinceChange < MIN_PLACEMENTS_BETWEEN_CHANGES || abs(wanted - size) < HYSTERESIS_SERVERS -> size
            wanted > size -> size + 1
            else -> size - 1
        }.coerceIn(1, servers - 1)
        if (next != size) placementsSinceChange = 0
        return next
    }

    companion object {
        /** Fewer servers leave no choice to either kind when one of them is slow or full. */
        const val MIN_SERVERS = 4

        /** Half of the weight is on the last 140 requests, which gives the size to about one server of 28. */
        private const val DECAY = 0.995
        private const val MIN_REQUESTS = 40.0
        private const val MIN_KIND_SHARE = 0.03

        /** Lengths of a single kind, with a deviation of up to half of their mean, differ by less. */
        private const val MIN_LENGTH_RATIO = 2.5

        /** More than half a server, so that a share between two sizes does not alternate between them. */
        private const val HYSTERESIS_SERVERS = 0.8
        private const val MIN_PLACEMENTS_BETWEEN_CHANGES = 20
    }
}
