package org.arbutusrelay.core.routing

/**
 * Draws one of the servers whose score is close to the best.
 *
 * Answers hosts that share the same reports and all choose the same server, which is full before the next report. The
 * draw is seeded by the request and its host, and differs between hosts. Without [isDrawn], the best server is chosen.
 */
internal class ServerDraw(profile: RequestProfile, private val isDrawn: Boolean) {
    private val seed = BackendSlots.mix(profile.id.hashCode().toLong())
    private val slots = ArrayList<BackendSlots>()
    private val scores = ArrayList<Double>()
    private var bestIndex = -1

    /** Adds a server with its score, the predicted cost in milliseconds. */
    fun add(candidate: BackendSlots, score: Double) {
        if (bestIndex < 0 || score < scores[bestIndex]) bestIndex = slots.size
        slots.add(candidate)
        scores.add(score)
    }

    /** Returns the drawn server, or null if none was added. */
    fun result(): BackendSlots? {
        if (bestIndex < 0) return null
        if (!isDrawn) return slots[bestIndex]
        val maxScore = scores[bestIndex] + NEAR_MS + maxOf(0.0, scores[bestIndex]) * NEAR_SHARE
        return slots.indices.filter { scores[it] <= maxScore }.map { slots[it] }
            .maxBy { PrefixLocality.rendezvousWeight(it, seed) }
    }

    private companion object {
        /** Predictions are off by more than this, so that a smaller difference does not tell which server is better. */
        const val NEAR_SHARE = 0.1
        const val NEAR_MS = 5.0
    }
}
