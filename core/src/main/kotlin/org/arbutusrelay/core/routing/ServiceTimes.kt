package org.arbutusrelay.core.routing

import java.util.concurrent.atomic.AtomicLong

/**
 * Learns how long a service takes, as exponentially weighted means over its completed requests.
 *
 * A request costs a time for each uncached prompt token until the first byte and a time for each response token after
 * it. A fixed number of tokens is added to both, so that plain services without tokens have a time as well. Times are
 * those of an idle backend server: samples are divided by [loadFactor] first.
 */
public class ServiceTimes(startPrefillUs: Double = 200.0, startDecodeUs: Double = 5_000.0) {
    private val prefillUs = Mean(startPrefillUs)
    private val decodeUs = Mean(startDecodeUs)
    private val totalMs = Mean(START_TOTAL_MS)
    private val uncachedShare = Mean(1.0)

    /** Time to the first byte over the prompt tokens that are read before it. */
    public val firstByte: FirstByteModel = FirstByteModel()
    private val uncachedTokens = Mean(START_UNCACHED_TOKENS)

    /** Returns the mean number of prompt tokens of a request that were not cached. */
    public fun meanUncachedTokens(): Double = uncachedTokens.value()

    /** Predicts the time on an idle backend server, in milliseconds. */
    public fun predictMs(uncachedTokens: Int, responseTokens: Int): Double =
        predictFirstByteMs(uncachedTokens) + (responseTokens + FIXED_TOKENS) * decodeUs.value() / US_PER_MS

    /** Predicts the time to the first byte on an idle backend server, in milliseconds. */
    public fun predictFirstByteMs(uncachedTokens: Int): Double =
        (uncachedTokens + FIXED_TOKENS) * prefillUs.value() / US_PER_MS

    /** Returns the mean time of a request under the load it met, in milliseconds. */
    public fun meanMs(): Double = totalMs.value()

    /** Predicts the time of a request with the usual cached share on a full backend server, in milliseconds. */
    public fun predictTypicalMs(promptTokens: Int, responseTokens: Int): Double =
        predictMs((promptTokens * uncachedShare.value()).toInt(), responseTokens) * loadFactor(1, 1)

    /** Records how much of a placed request's prompt was not cached. */
    public fun recordUncached(uncachedTokens: Int, promptTokens: Int) {
        if (promptTokens > 0) this.uncachedTokens.record(uncachedTokens.toDouble())
        if (promptTokens > 0) uncachedShare.record(uncachedTokens.toDouble() / promptTokens)
    }

    /** Records a completed request; [firstByteMs] is null when the response arrived as a whole. */
    public fun record(sample: Sample) {
        totalMs.record(sample.totalMs)
        val factor = loadFactor(sample.load, sample.capacity)
        val firstByteMs = sample.firstByteMs ?: (sample.totalMs / 2)
        prefillUs.record(firstByteMs * US_PER_MS / (sample.uncachedTokens + FIXED_TOKENS) / factor)
        val decodeMs = sample.totalMs - firstByteMs
        decodeUs.record(decodeMs * US_PER_MS / (sample.responseTokens + FIXED_TOKENS) / factor)
    }

    /** A completed request: its size, its times in milliseconds and the load of the backend server it met. */
    public class Sample(
        public val uncachedTokens: Int,
        public val responseTokens: Int,
        public val firstByteMs: Double?,
        public val totalMs: Double,
        public val load: Int,
        public val capacity: Int,
    )

    public companion object {
        /** Returns how much longer a request takes when [load] requests share a batch of [capacity]. */
        public fun loadFactor(load: Int, capacity: Int): Double =
            1.0 + BATCH_SLOPE * minOf(load, capacity) / capacity

        private const val FIXED_TOKENS = 16
        private const val START_UNCACHED_TOKENS = 800.0
        private const val START_TOTAL_MS = 200.0
        private const val US_PER_MS = 1_000.0

        // A full batch of continuous batching decodes each stream about half as fast again as a single stream.
        private const val BATCH_SLOPE = 0.5
    }
}

/** An exponentially weighted mean that several threads update; it begins as a plain mean of the first samples. */
internal class Mean(start: Double, private val weight: Double = 0.02) {
    private val bits = AtomicLong(start.toRawBits())

    @Volatile
    private var samples = 0

    fun value(): Double = Double.fromBits(bits.get())

    fun record(sample: Double) {
        // Lost updates of the count only lengthen the warm-up.
        val count = ++samples
        if (count < 0) samples = WARM
        val share = maxOf(weight, 1.0 / (count.coerceIn(1, WARM)))
        while (true) {
            val old = bits.get()
            val next = Double.fromBits(old) * (1 - share) + sample * share
            if (bits.compareAndSet(old, next.toRawBits())) return
        }
    }

    private companion object {
        private const val WARM = 1_000
    }
}
