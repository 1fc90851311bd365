package org.arbutusrelay.core.routing

/**
 * Chooses the backend server with the earliest predicted finish.
 *
 * The prediction counts the prompt tokens that the backend server is not believed to hold, its load and its slowdown.
 * Because load enters the prediction, prefix affinity is bounded: a loaded holder of the prefix loses against an idle
 * backend server with a cold cache. Between equal predictions rendezvous hashing on the first block decides, so that
 * hosts that have not seen a prefix send it to the same backend server.
 */
public class EarliestFinishServerSelector(
    override val window: Int = 8,
    private val spareMs: Long = 1_000,
) : ServerSelector {
    override fun choose(profile: RequestProfile, servers: ServiceServers, nowMs: Long): BackendSlots? {
        var best: BackendSlots? = null
        var bestMs = Double.MAX_VALUE
        for (index in servers.slots.indices) {
            val slots = servers.slots[index]
            if (!slots.hasRoom(nowMs)) continue
            val finishMs = score(profile, slots, servers.times, nowMs)
            if (finishMs < bestMs) {
                best = slots
                bestMs = finishMs
            }
        }
        return best
    }

    override fun prefer(waiting: List<RequestProfile>, servers: ServiceServers, nowMs: Long): Int {
        val first = waiting[0]
        val typicalMs = servers.times.predictTypicalMs(first.promptTokens, first.responseTokens)
        // The first request yields only while it has time to spare.
        if (nowMs + typicalMs + spareMs > first.deadlineMs) return 0
        return waiting.indices.maxBy { index ->
            val profile = waiting[index]
            choose(profile, servers, nowMs)?.let { profile.promptTokens - uncachedTokens(profile, it) } ?: -1
        }
    }

    private fun score(profile: RequestProfile, slots: BackendSlots, times: ServiceTimes, nowMs: Long): Double {
        val finishMs = predictMs(profile, slots, times, nowMs)
        val triedPenalty = if (slots.name in profile.triedBackendServers) TRIED_PENALTY_MS else 0.0
        return finishMs * (1 + TIE_SHARE * rendezvous(profile, slots)) + triedPenalty
    }

    private fun rendezvous(profile: RequestProfile, slots: BackendSlots): Double {
        val seed = if (profile.prefixHashes.isEmpty()) profile.id.requestNumber else profile.prefixHashes[0]
        return (BackendSlots.mix(slots.nameHash xor seed) ushr 1).toDouble() / Long.MAX_VALUE
    }

    public companion object {
        /** Predicts how long [profile] takes on [slots] when it starts at [nowMs], in milliseconds. */
        public fun predictMs(
            profile: RequestProfile,
            slots: BackendSlots,
            times: ServiceTimes,
            nowMs: Long,
        ): Double {
            val idleMs = times.predictMs(uncachedTokens(profile, slots), profile.responseTokens)
            return idleMs * ServiceTimes.loadFactor(slots.load(), slots.capacity) * slots.slowdown.factor(nowMs)
        }

        /** Returns how many prompt tokens [slots] is not believed to hold. */
        public fun uncachedTokens(profile: RequestProfile, slots: BackendSlots): Int {
            val blocks = profile.prefixHashes.size
            if (blocks == 0) return profile.promptTokens
            val run = slots.history.leadingRun(profile.prefixHashes)
            return (profile.promptTokens.toLong() * (blocks - run) / blocks).toInt()
        }

        private const val TRIED_PENALTY_MS = 1e9
        private const val TIE_SHARE = 0.1
    }
}
