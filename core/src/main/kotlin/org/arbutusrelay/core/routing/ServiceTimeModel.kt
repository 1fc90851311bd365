package org.arbutusrelay.core.routing

import java.util.concurrent.atomic.AtomicLong

/**
 * Models the service time of a service with exponentially weighted means over its completed requests.
 *
 * The prefill time is proportional to the uncached prompt tokens, the decode time to the response tokens. A fixed
 * number of tokens is added to both, so that plain services without tokens have a time as well. Times are those of an
 * idle backend server: samples are divided by [loadFactor] first.
 */
public class ServiceTimeModel(initialPrefillUs: Double = 200.0, initialDecodeUs: Double = 5_000.0) {
    private val prefillUs = MovingAverage(initialPrefillUs)
    private val decodeUs = MovingAverage(initialDecodeUs)
    private val totalMs = MovingAverage(INITIAL_TOTAL_MS)
    private val uncachedShare = MovingAverage(1.0)

    /** Time to first byte as a function of the prompt tokens that are prefilled before it. */
    public val firstByte: FirstByteModel = FirstByteModel()

    /** How much later than predicted recent first bytes in this region arrived, by priority. */
    public val firstByteOverruns: FirstByteOverruns = FirstByteOverruns()

    /** Time between two events of a stream by the load of its server. */
    public val eventTimes: EventTimeModel = EventTimeModel()

    /** Number of events of a stream by kind of request. */
    public val streamLengths: StreamLengths = StreamLengths()

    /** Keeps this host from sending to servers that reports call full, after one has turned a request away. */
    public val probeHold: RefusalHold = RefusalHold()
    private val memoryTokens = MovingAverage(INITIAL_UNCACHED_TOKENS)
    private val uncachedTokens = MovingAverage(INITIAL_UNCACHED_TOKENS)
    private val promptTokens = MovingAverage(INITIAL_UNCACHED_TOKENS)

    /** Returns the mean length of a prompt, in tokens. */
    public fun meanPromptTokens(): Double = promptTokens.value()

    /** Returns the mean number of tokens that a request holds in the memory of a server. */
    public fun meanMemoryTokens(): Double = memoryTokens.value()

    /** Records the tokens that a placed request holds in the memory of its server. */
    public fun recordMemory(tokens: Long): Unit = memoryTokens.record(tokens.toDouble())

    /** Returns the mean number of uncached prompt tokens of a request. */
    public fun meanUncachedTokens(): Double = uncachedTokens.value()

    /** Predicts the service time on an idle backend server, in milliseconds; at least [MIN_PREDICTED_MS]. */
    public fun predictMs(uncachedTokens: Int, responseTokens: Int): Double {
        val decodeMs = (responseTokens + OVERHEAD_TOKENS) * decodeUs.value() / US_PER_MS
        return maxOf(MIN_PREDICTED_MS, predictFirstByteMs(uncachedTokens) + decodeMs)
    }

    /** Predicts the time to first byte on an idle backend server, in milliseconds. */
    public fun predictFirstByteMs(uncachedTokens: Int): Double =
        (uncachedTokens + OVERHEAD_TOKENS) * prefillUs.value() / US_PER_MS

    /** Returns the mean time of a request under the load at its placement, in milliseconds. */
    public fun meanMs(): Double = totalMs.value()

    /** Predicts the service time on a full backend server with the mean uncached share, in milliseconds. */
    public fun predictTypicalMs(promptTokens: Int, responseTokens: Int): Double =
        predictMs((promptTokens * uncachedShare.value()).toInt(), responseTokens) * loadFactor(1, 1)

    /** Records the prompt tokens of a placed request and how many of them are uncached. */
    public fun recordUncached(uncachedTokens: Int, promptTokens: Int) {
        if (promptTokens == 0) return
        this.promptTokens.record(promptTokens.toDouble())
        this.uncachedTokens.record(uncachedTokens.toDouble())
        uncachedShare.record(uncachedTokens.toDouble() / promptTokens)
    }

    /** Records a completed request; [Sample.firstByteMs] is null when the response arrived as a whole. */
    public fun record(sample: Sample) {
        totalMs.record(sample.totalMs)
        val factor = loadFactor(sample.load, sample.capacity)
        val firstByteMs = sample.firstByteMs ?: (sample.totalMs / 2)
        prefillUs.record(firstByteMs * US_PER_MS / (sample.uncachedTokens + OVERHEAD_TOKENS) / factor)
        val decodeMs = sample.totalMs - firstByteMs
        decodeUs.record(decodeMs * US_PER_MS / (sample.responseTokens + OVERHEAD_TOKENS) / factor)
    }

    /** Size and times in milliseconds of a completed request, and the load of its backend server at placement. */
    public class Sample(
        public val uncachedTokens: Int,
        public val responseTokens: Int,
        public val firstByteMs: Double?,
        public val totalMs: Double,
        public val load: Int,
        public val capacity: Int,
    )

    public companion object {
        /** Returns the factor by which a request takes longer when [load] requests share a batch of [capacity]. */
        public fun loadFactor(load: Int, capacity: Int): Double =
            1.0 + BATCH_SLOPE * minOf(load, capacity) / capacity

        /**
         * Resolution of the clock, in milliseconds. Responses that are faster are measured as 0 ms, and a measured time
         * cannot be compared with a prediction of 0.
         */
        private const val MIN_PREDICTED_MS = 1.0
        private const val OVERHEAD_TOKENS = 16
        private const val INITIAL_UNCACHED_TOKENS = 800.0
        private const val INITIAL_TOTAL_MS = 200.0
        private const val US_PER_MS = 1_000.0

        // With continuous batching, each stream of a full batch takes about 1.5 times as long as a single stream.
        private const val BATCH_SLOPE = 0.5
    }
}

/**
 * An exponentially weighted moving average, updated by several threads; it starts as the plain mean of the first
 * samples.
 */
internal class MovingAverage(start: Double, private val weight: Double = 0.02) {
    private val bits = AtomicLong(start.toRawBits())

    @Volatile
    private var samples = 0

    fun value(): Double = Double.fromBits(bits.get())

    fun record(sample: Double) {
        // Lost updates of the count only lengthen the warm-up.
        val count = ++samples
        if (count < 0) samples = WARMUP_SAMPLES
        val share = maxOf(weight, 1.0 / (count.coerceIn(1, WARMUP_SAMPLES)))
        while (true) {
            val old = bits.get()
            val next = Double.fromBits(old) * (1 - share) + sample * share
            if (bits.compareAndSet(old, next.toRawBits())) return
        }
    }

    private companion object {
        private const val WARMUP_SAMPLES = 1_000
    }
}
