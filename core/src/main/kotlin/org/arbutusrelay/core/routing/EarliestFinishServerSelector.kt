package org.arbutusrelay.core.routing

/**
 * Selects the backend server with the earliest predicted finish time.
 *
 * The prediction includes the prompt tokens that are probably not in the prefix cache, the load and the slowdown of the
 * backend server. As load enters the prediction, prefix affinity is bounded: a loaded backend server that has the
 * prefix loses to an idle one with a cold cache. Rendezvous hashing on the first block breaks ties, so that hosts
 * without information on a prefix send it to the same backend server.
 */
public class EarliestFinishServerSelector(override val lookahead: Int = 8, private val spareMs: Long = 1_000) :
    ServerSelector {
    override fun select(profile: RequestProfile, servers: ServerPool, nowMs: Long): BackendSlots? {
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

    override fun selectNext(waiting: List<RequestProfile>, servers: ServerPool, nowMs: Long): Int {
        val first = waiting[0]
        val typicalTimeMs = servers.times.predictTypicalMs(first.promptTokens, first.responseTokens)
        // Another request may overtake the first one only while the first has slack before its deadline.
        if (nowMs + typicalTimeMs + spareMs > first.deadlineMs) return 0
        return waiting.indices.maxBy { index ->
            val profile = waiting[index]
            select(profile, servers, nowMs)?.let { profile.promptTokens - uncachedTokens(profile, it) } ?: -1
        }
    }

    private fun score(profile: RequestProfile, slots: BackendSlots, times: ServiceTimeModel, nowMs: Long): Double {
        val finishMs = predictMs(profile, slots, times, nowMs)
        val triedPenaltyMs = if (slots.name in profile.triedBackendServers) TRIED_PENALTY_MS else 0.0
        return finishMs * (1 + TIE_BREAK_SHARE * rendezvous(profile, slots)) + triedPenaltyMs
    }

    private fun rendezvous(profile: RequestProfile, slots: BackendSlots): Double {
        val seed = if (profile.prefixHashes.isEmpty()) profile.id.requestNumber else profile.prefixHashes[0]
        return (BackendSlots.mix(slots.nameHash xor seed) ushr 1).toDouble() / Long.MAX_VALUE
    }

    public companion object {
        /** Predicts the time of [profile] on [slots] when it starts at [nowMs], in milliseconds. */
        public fun predictMs(
            profile: RequestProfile,
            slots: BackendSlots,
            times: ServiceTimeModel,
            nowMs: Long,
        ): Double {
            val idleMs = times.predictMs(uncachedTokens(profile, slots), profile.responseTokens)
            val speedFactor = slots.slowdown.factor(nowMs) * slots.currentSpeed.factor(nowMs)
            return idleMs * ServiceTimeModel.loadFactor(slots.load(), slots.capacity) * speedFactor
        }

        /** Returns the number of prompt tokens that are probably not in the prefix cache of [slots]. */
        public fun uncachedTokens(profile: RequestProfile, slots: BackendSlots): Int {
            val blocks = profile.prefixHashes.size
            if (blocks == 0) return profile.promptTokens
            val cachedBlocks = slots.prefixIndex.matchPrefix(profile.prefixHashes)
            return (profile.promptTokens.toLong() * (blocks - cachedBlocks) / blocks).toInt()
        }

        private const val TRIED_PENALTY_MS = 1e9
        private const val TIE_BREAK_SHARE = 0.1
    }
}
