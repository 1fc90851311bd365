package org.arbutusrelay.core.routing

/**
 * Chooses the backend server by the predicted time to the first byte, and by what reading the prompt again costs.
 *
 * A prompt that is read again occupies the engine for all who wait behind it, so that cached tokens count for more than
 * their own time; a first byte after the target counts for more as well. The engine that rendezvous hashing ranks
 * first for the shared head of a prompt is taken to hold most of it, because all hosts send it there. Where engines can
 * copy cached tokens from each other, a short queue counts for more than a warm cache. A plain service is chosen by its
 * load. A backend server that fails part of its requests is avoided by what a failure costs the caller.
 */
public class FirstByteChoice(override val window: Int = 1) : ServerChoice {
    override fun choose(profile: RequestProfile, servers: ServiceServers, nowMs: Long): BackendSlots? =
        best(profile, servers, HeldPrompt.of(profile, servers), nowMs)

    override fun predictFirstByteMs(profile: RequestProfile, servers: ServiceServers, nowMs: Long): Double? {
        val prompt = HeldPrompt.of(profile, servers)
        val slots = best(profile, servers, prompt, nowMs) ?: return null
        return predictMs(profile, slots, servers, prompt.expectedTokens(profile, slots), nowMs)
    }

    override fun reading(profile: RequestProfile, slots: BackendSlots, servers: ServiceServers): PromptReading {
        val prompt = HeldPrompt.of(profile, servers)
        val source = if (profile.canImportCache) prompt.sourceFor(profile, slots) else null
        return PromptReading(prompt.expectedTokens(profile, slots).toInt(), source)
    }

    private fun best(
        profile: RequestProfile,
        servers: ServiceServers,
        prompt: HeldPrompt,
        nowMs: Long,
    ): BackendSlots? {
        var best: BackendSlots? = null
        var bestScore = Double.MAX_VALUE
        for (slots in servers.slots) {
            if (!slots.hasRoom(nowMs)) continue
            val score = score(profile, slots, servers, prompt, nowMs)
            if (score < bestScore) {
                best = slots
                bestScore = score
            }
        }
        return best
    }

    private fun score(
        profile: RequestProfile,
        slots: BackendSlots,
        servers: ServiceServers,
        prompt: HeldPrompt,
        nowMs: Long,
    ): Double {
        val firstMs = predictMs(profile, slots, servers, prompt.expectedTokens(profile, slots), nowMs)
        val lateMs = if (profile.targetMs > 0) maxOf(0.0, firstMs - profile.targetMs * TARGET_SHARE) else 0.0
        val tried = if (slots.name in profile.triedBackendServers) TRIED_PENALTY_MS else 0.0
        val failing = slots.failureRate.at(nowMs) * if (profile.isIdempotent) REPEAT_COST_MS else LOSS_COST_MS
        val tie = TIE_MS * HeldPrompt.rank(slots, profile.id.requestNumber) / Long.MAX_VALUE
        return firstMs + prompt.rereadCost(profile, slots) * REREAD_MS_PER_TOKEN + lateMs * LATE_WEIGHT + tried +
            failing + tie
    }

    private fun predictMs(
        profile: RequestProfile,
        slots: BackendSlots,
        servers: ServiceServers,
        tokens: Double,
        nowMs: Long,
    ): Double {
        val times = servers.times
        val factor = slots.slowdown.factor(nowMs)
        if (profile.promptTokens == 0) {
            return times.meanMs() * maxOf(1.0, (slots.load() + 1.0) / slots.capacity) * factor +
                slots.load() * LOAD_TIE_MS
        }
        val aheadTokens = slots.pendingTokens(times.meanUncachedTokens(), nowMs)
        val crowding = 1 + CROWDING * slots.load() / slots.capacity
        return times.firstByte.predictMs(aheadTokens + tokens) * factor * crowding
    }

    private companion object {
        const val TRIED_PENALTY_MS = 1e9

        /** What reading a shared token again costs others, as a delay; three times the time that it takes itself. */
        const val REREAD_MS_PER_TOKEN = 0.06

        /** Share of the target from which a first byte counts as at risk. */
        const val TARGET_SHARE = 0.7
        const val LATE_WEIGHT = 2.0

        /** What a failure costs, as a delay: a repeat reads the prompt again; what must not run twice is lost. */
        const val REPEAT_COST_MS = 1_500.0
        const val LOSS_COST_MS = 4_000.0
        const val TIE_MS = 2.0
        const val LOAD_TIE_MS = 0.5

        /** A full batch slows the reading of prompts about as much as it slows decoding. */
        const val CROWDING = 0.5
    }
}
