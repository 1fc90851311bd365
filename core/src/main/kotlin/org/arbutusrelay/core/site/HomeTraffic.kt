package org.arbutusrelay.core.site

import org.arbutusrelay.schema.message.HomeRequests

/**
 * The recent requests on routes with homes, by name and homes, as the entry hosts report them to a state host.
 *
 * Each state host receives the reports of a part of the entry hosts, which is enough for shares. Times are monotonic,
 * in milliseconds. Thread-safe.
 */
public class HomeTraffic {
    private var windowStartMs = Long.MIN_VALUE / 2
    private var current = HashMap<String, HashMap<Set<String>, Long>>()
    private var previous = HashMap<String, HashMap<Set<String>, Long>>()

    /** Adds the requests of a report. */
    @Synchronized
    public fun record(reported: List<HomeRequests>, nowMs: Long) {
        rotate(nowMs)
        for (item in reported) {
            val byHomes = current.getOrPut(item.authority) { HashMap() }
            byHomes.merge(item.homeRegions.toSet(), item.requests, Long::plus)
        }
    }

    /** Returns the requests for the routes of [name] in the last one to two windows, by their homes. */
    @Synchronized
    public fun requests(name: String, nowMs: Long): Map<Set<String>, Long> {
        rotate(nowMs)
        val key = directoryName(name)
        val sum = HashMap(previous[key].orEmpty())
        current[key].orEmpty().forEach { (homes, requests) -> sum.merge(homes, requests, Long::plus) }
        return sum
    }

    private fun rotate(nowMs: Long) {
        val elapsedMs = nowMs - windowStartMs
        if (elapsedMs < WINDOW_MS) return
        previous = if (elapsedMs < 2 * WINDOW_MS) current else HashMap()
        current = HashMap()
        windowStartMs = nowMs
    }

    private companion object {
        /** Long enough that the shares survive an outage of the entry hosts that report them. */
        const val WINDOW_MS = 30_000L
    }
}
