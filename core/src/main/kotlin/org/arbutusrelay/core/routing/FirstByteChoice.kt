package org.arbutusrelay.core.routing

/**
 * Chooses the backend server by the predicted time to the first byte, and by what reading the prompt again costs.
 *
 * A prompt that is read again occupies the engine for all who wait behind it, so that cached tokens count for more than
 * their own time; a first byte after the target counts for more as well. The engine that rendezvous hashing ranks
 * first for the shared head of a prompt is taken to hold most of it, because all hosts send it there. A plain service
 * is chosen by its load.
 */
public class FirstByteChoice(override val window: Int = 1) : ServerChoice {
    override fun choose(profile: RequestProfile, servers: ServiceServers, nowMs: Long): BackendSlots? =
        best(profile, servers, nowMs) { it.hasRoom(nowMs) }

    override fun predictFirstByteMs(profile: RequestProfile, servers: ServiceServers, nowMs: Long): Double? =
        best(profile, servers, nowMs) { it.hasRoom(nowMs) }?.let { predictMs(profile, it, servers, nowMs) }

    private inline fun best(
        profile: RequestProfile,
        servers: ServiceServers,
        nowMs: Long,
        isUsable: (BackendSlots) -> Boolean,
    ): BackendSlots? {
        val preferred = preferredOf(profile, servers)
        var best: BackendSlots? = null
        var bestScore = Double.MAX_VALUE
        for (slots in servers.slots) {
            if (!isUsable(slots)) continue
            val score = score(profile, slots, servers, preferred, nowMs)
            if (score < bestScore) {
                best = slots
                bestScore = score
            }
        }
        return best
    }

    /** Returns the backend server that all hosts prefer for the shared head of the prompt. */
    private fun preferredOf(profile: RequestProfile, servers: ServiceServers): BackendSlots? =
        if (profile.affinityHash == 0L) null else servers.slots.maxByOrNull { rank(it, profile.affinityHash) }

    private fun rank(slots: BackendSlots, seed: Long): Long = BackendSlots.mix(slots.nameHash xor seed) ushr 1

    private fun score(
        profile: RequestProfile,
        slots: BackendSlots,
        servers: ServiceServers,
        preferred: BackendSlots?,
        nowMs: Long,
    ): Double {
        val uncached = FinishChoice.uncachedTokens(profile, slots)
        val shared = maxOf(0, uncached - (profile.promptTokens - profile.sharedTokens))
        val expectedShared = if (slots === preferred) shared * UNSEEN_SHARE else shared.toDouble()
        val firstMs =
            predictMs(profile, slots, servers, nowMs) - (shared - expectedShared) * servers.times.firstByte.msPerToken
        val lateMs = if (profile.targetMs > 0) maxOf(0.0, firstMs - profile.targetMs * TARGET_SHARE) else 0.0
        val tried = if (slots.name in profile.triedBackendServers) TRIED_PENALTY_MS else 0.0
        val tie = TIE_MS * rank(slots, profile.id.requestNumber) / Long.MAX_VALUE
        return firstMs + expectedShared * REREAD_MS_PER_TOKEN + lateMs * LATE_WEIGHT + tried + tie
    }

    public companion object {
        /** Predicts the time to the first byte of [profile] on [slots], in milliseconds. */
        public fun predictMs(
            profile: RequestProfile,
            slots: BackendSlots,
            servers: ServiceServers,
            nowMs: Long,
        ): Double {
            val times = servers.times
            val factor = slots.slowdown.factor(nowMs)
            if (profile.promptTokens == 0) {
                return times.meanMs() * maxOf(1.0, (slots.load() + 1.0) / slots.capacity) * factor +
                    slots.load() * LOAD_TIE_MS
            }
            val ahead = slots.pendingTokens(times.meanUncachedTokens(), nowMs)
            val crowding = 1 + CROWDING * slots.load() / slots.capacity
            return times.firstByte.predictMs(ahead + FinishChoice.uncachedTokens(profile, slots)) * factor * crowding
        }

        private const val TRIED_PENALTY_MS = 1e9

        /** Share of a prompt's head that the preferred backend server is taken not to hold yet. */
        private const val UNSEEN_SHARE = 0.3

        /** What reading a shared token again costs others, as a delay; three times the time that it takes itself. */
        private const val REREAD_MS_PER_TOKEN = 0.06

        /** Share of the target from which a first byte counts as at risk. */
        private const val TARGET_SHARE = 0.7
        private const val LATE_WEIGHT = 2.0
        private const val TIE_MS = 2.0
        private const val LOAD_TIE_MS = 0.5

        /** A full batch slows the reading of prompts about as much as it slows decoding. */
        private const val CROWDING = 0.5
    }
}
