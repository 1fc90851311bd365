package org.arbutusrelay.core.routing

/**
 * Learns the time to the first byte as a straight line over the prompt tokens that are read before it.
 *
 * The tokens are those of the request itself that are not cached and those of the requests ahead of it. The line is a
 * least-squares fit over samples whose weight decays by [DECAY] with each new one.
 */
public class FirstByteModel {
    private var weight = 0.0
    private var sumX = 0.0
    private var sumY = 0.0
    private var sumXx = 0.0
    private var sumXy = 0.0

    /** Time for one prompt token, in milliseconds. */
    @Volatile
    public var msPerToken: Double = START_MS_PER_TOKEN
        private set

    /** Time without any prompt token, in milliseconds. */
    @Volatile
    public var baseMs: Double = START_BASE_MS
        private set

    /** Predicts the time to the first byte after [tokens] prompt tokens, in milliseconds. */
    public fun predictMs(tokens: Double): Double = baseMs + tokens * msPerToken

    /** Records that the first byte came [firstByteMs] after a request that had [tokens] to be read. */
    @Synchronized
    public fun record(tokens: Double, firstByteMs: Double) {
        weight = weight * DECAY + 1
        sumX = sumX * DECAY + tokens
        sumY = sumY * DECAY + firstByteMs
        sumXx = sumXx * DECAY + tokens * tokens
        sumXy = sumXy * DECAY + tokens * firstByteMs
        if (weight < MIN_WEIGHT) return
        val spread = sumXx - sumX * sumX / weight
        if (spread > MIN_SPREAD * weight) {
            msPerToken = ((sumXy - sumX * sumY / weight) / spread).coerceIn(MIN_MS_PER_TOKEN, MAX_MS_PER_TOKEN)
        }
        baseMs = ((sumY - msPerToken * sumX) / weight).coerceIn(MIN_BASE_MS, MAX_BASE_MS)
    }

    private companion object {
        /** Half of the weight lies on the last 140 samples. */
        const val DECAY = 0.995
        const val MIN_WEIGHT = 10.0

        /** Variance in tokens below which the slope is not told from noise. */
        const val MIN_SPREAD = 10_000.0
        const val START_MS_PER_TOKEN = 0.03
        const val START_BASE_MS = 30.0
        const val MIN_MS_PER_TOKEN = 0.005
        const val MAX_MS_PER_TOKEN = 0.5
        const val MIN_BASE_MS = 1.0
        const val MAX_BASE_MS = 1_000.0
    }
}
