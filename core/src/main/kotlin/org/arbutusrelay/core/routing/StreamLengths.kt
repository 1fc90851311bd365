package org.arbutusrelay.core.routing

import java.util.concurrent.ConcurrentHashMap

/**
 * Learns the number of events of streams by kind of request, and how it relates to the response tokens that the caller
 * states.
 *
 * The stated tokens are a maximum, or a hint that is right in the median and often far off. The median ratio of events
 * to stated tokens turns either into an estimate, which is bounded by what the kind has shown.
 */
public class StreamLengths {
    private class Kind {
        val events = RecentSamples()
        val ratios = RecentSamples()
    }

    private val kinds = ConcurrentHashMap<String, Kind>()

    /** Returns the number of events that the stream of [profile] has in the median; null if it is not known yet. */
    public fun expectedEvents(profile: RequestProfile): Double? {
        val kind = kinds[profile.kindName] ?: return null
        val longest = kind.events.quantile(LONG_QUANTILE) ?: return null
        val ratio = kind.ratios.quantile(MEDIAN)
        val estimate = if (ratio == null || profile.responseTokens <= 0) {
            kind.events.quantile(MEDIAN) ?: return null
        } else {
            ratio * profile.responseTokens
        }
        return minOf(estimate, longest)
    }

    /** Records that the stream of [profile] had [events] events, or more if it [isCut]. */
    public fun record(profile: RequestProfile, events: Int, isCut: Boolean) {
        if (events <= 0 || profile.receivedEvents > 0) return
        // A stream that was cut before its expected length says nothing about how long it would have become.
        if (isCut && events < (expectedEvents(profile) ?: return)) return
        val kind = kinds.computeIfAbsent(profile.kindName) { Kind() }
        kind.events.add(events.toDouble())
        if (profile.responseTokens > 0) kind.ratios.add(events.toDouble() / profile.responseTokens)
    }

    private companion object {
        const val MEDIAN = 0.5
        const val LONG_QUANTILE = 0.9
    }
}

/** Quantiles of the latest samples. */
internal class RecentSamples {
    private val samples = DoubleArray(SIZE)
    private var count = 0

    @Volatile
    private var sorted = DoubleArray(0)

    /** Returns the [quantile], from 0 to 1; null before there are enough samples. */
    fun quantile(quantile: Double): Double? {
        val current = sorted
        return if (current.size < MIN_SAMPLES) null else current[((current.size - 1) * quantile).toInt()]
    }

    @Synchronized
    fun add(sample: Double) {
        samples[count % SIZE] = sample
        count = if (count == Int.MAX_VALUE) SIZE else count + 1
        sorted = samples.copyOf(minOf(count, SIZE)).apply { sort() }
    }

    private companion object {
        /** About a minute of the streams of one kind on one host. */
        const val SIZE = 64
        const val MIN_SAMPLES = 8
    }
}
