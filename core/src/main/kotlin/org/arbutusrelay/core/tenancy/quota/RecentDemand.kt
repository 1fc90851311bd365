package org.arbutusrelay.core.tenancy.quota

import kotlin.math.exp

/** Estimates the tokens per millisecond that were recently asked for; weights decay exponentially. */
internal class RecentDemand {
    private var weighted = 0.0
    private var updatedMs = 0L

    fun record(tokens: Long, nowMs: Long) {
        decay(nowMs)
        weighted += tokens
    }

    fun perMs(nowMs: Long): Double {
        decay(nowMs)
        return weighted / TIME_CONSTANT_MS
    }

    private fun decay(nowMs: Long) {
        if (nowMs <= updatedMs) return
        weighted *= exp((updatedMs - nowMs) / TIME_CONSTANT_MS)
        updatedMs = nowMs
    }

    private companion object {
        /** The load of a region changes within 1 to 3 s, which half a second follows. */
        const val TIME_CONSTANT_MS = 500.0
    }
}
