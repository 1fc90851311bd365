package org.arbutusrelay.core.routing

/**
 * Models the time to first byte as a linear function of the prompt tokens that are prefilled before it.
 *
 * These are the uncached tokens of the request itself and those of the requests ahead of it. The slope is a
 * least-squares fit over samples whose weight decays by [DECAY] with each new one. The fixed part follows the lowest
 * samples, because queueing in this region says nothing about another region, for which the model is used as well.
 */
public class FirstByteModel {
    private var weight = 0.0
    private var sumX = 0.0
    private var sumY = 0.0
    private var sumXx = 0.0
    private var sumXy = 0.0

    /** Prefill time for each prompt token, in milliseconds. */
    @Volatile
    public var msPerToken: Double = INITIAL_MS_PER_TOKEN
        private set

    /** Fixed part of the time to first byte without queueing, in milliseconds. */
    @Volatile
    public var baseMs: Double = INITIAL_BASE_MS
        private set

    /** Predicts the time to first byte after [tokens] prompt tokens, in milliseconds. */
    public fun predictMs(tokens: Double): Double = baseMs + tokens * msPerToken

    /** Records that the first byte arrived after [firstByteMs], with [tokens] to prefill before it. */
    @Synchronized
    public fun record(tokens: Double, firstByteMs: Double) {
        weight = weight * DECAY + 1
        sumX = sumX * DECAY + tokens
        sumY = sumY * DECAY + firstByteMs
        sumXx = sumXx * DECAY + tokens * tokens
        sumXy = sumXy * DECAY + tokens * firstByteMs
        if (weight < MIN_WEIGHT) return
        val spread = sumXx - sumX * sumX / weight
        if (spread > MIN_TOKEN_VARIANCE * weight) {
            msPerToken = ((sumXy - sumX * sumY / weight) / spread).coerceIn(MIN_MS_PER_TOKEN, MAX_MS_PER_TOKEN)
        }
        val excessMs = firstByteMs - predictMs(tokens)
        val stepMs = excessMs * if (excessMs < 0) FALL_WEIGHT else RISE_WEIGHT
        baseMs = (baseMs + stepMs).coerceIn(MIN_BASE_MS, MAX_BASE_MS)
    }

    private companion object {
        /** Half of the weight is on the last 140 samples. */
        const val DECAY = 0.995
        const val MIN_WEIGHT = 10.0

        /** Token variance below which the slope cannot be distinguished from noise. */
        const val MIN_TOKEN_VARIANCE = 10_000.0
        const val INITIAL_MS_PER_TOKEN = 0.03
        const val INITIAL_BASE_MS = 30.0
        const val MIN_MS_PER_TOKEN = 0.005
        const val MAX_MS_PER_TOKEN = 0.5
        const val MIN_BASE_MS = 1.0
        const val MAX_BASE_MS = 1_000.0

        /** The fixed part falls quickly and rises slowly, so that queueing does not become a part of it. */
        const val FALL_WEIGHT = 0.1
        const val RISE_WEIGHT = 0.01
    }
}
