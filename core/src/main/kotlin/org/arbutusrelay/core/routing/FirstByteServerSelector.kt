package org.arbutusrelay.core.routing

/**
 * Selects the backend server by the predicted time to first byte and the cost of recomputing cached tokens.
 *
 * Prefill of tokens that another engine has cached delays all requests queued behind it, so recomputed tokens are
 * weighted above their own prefill time, and so is a delay of the first byte that puts the target at risk. The engine
 * with the highest rendezvous weight for a shared prefix is assumed to have most of it cached, because all hosts send
 * the prefix there. Where engines can import cached tokens from each other, a short queue outweighs a warm cache.
 * Requests of plain services go to the least loaded backend server. A backend server that fails part of its requests is
 * penalised by the cost of a failure to the caller. Long and short prompts prefer different servers, as
 * [LongPromptServers] tells.
 */
public class FirstByteServerSelector(override val lookahead: Int = 1) : ServerSelector {
    /** Backend servers preferred for long prompts. */
    public val longPrompts: LongPromptServers = LongPromptServers()

    override fun select(profile: RequestProfile, servers: ServerPool, nowMs: Long): BackendSlots? =
        selectBest(profile, servers, localityOf(profile, servers), nowMs)

    override fun predictFirstByteMs(profile: RequestProfile, servers: ServerPool, nowMs: Long): Double? {
        val prompt = localityOf(profile, servers)
        val slots = selectBest(profile, servers, prompt, nowMs) ?: return null
        val firstMs = predictMs(profile, slots, servers, prompt.expectedPrefillTokens(profile, slots), nowMs)
        return firstMs + queueingMs(profile, servers.times, nowMs)
    }

    override fun recordPlaced(
        profile: RequestProfile,
        slots: BackendSlots,
        servers: ServerPool,
        uncachedTokens: Int,
    ): Unit = longPrompts.recordPlaced(profile, slots, servers, uncachedTokens)

    /** Chooses the server of a prefix among those that the request prefers, so that it is cached there. */
    private fun localityOf(profile: RequestProfile, servers: ServerPool): PrefixLocality {
        val preference = longPrompts.preferenceOf(profile, servers)
        return PrefixLocality.of(profile, servers, preference?.preferred ?: servers.slots)
    }

    /** Requests of plain services are predicted from the load alone. */
    private fun queueingMs(profile: RequestProfile, times: ServiceTimeModel, nowMs: Long): Double =
        if (profile.promptTokens == 0) 0.0 else times.firstByteOverruns.at(profile.priority, nowMs)

    override fun estimatePrefill(profile: RequestProfile, slots: BackendSlots, servers: ServerPool): PrefillEstimate {
        val prompt = localityOf(profile, servers)
        val source = if (profile.canImportCache) prompt.importSourceFor(profile, slots) else null
        return PrefillEstimate(prompt.expectedPrefillTokens(profile, slots).toInt(), source)
    }

    /** Selects among the servers with room; among all that this host's own share allows when none is known to have. */
    private fun selectBest(
        profile: RequestProfile,
        servers: ServerPool,
        prompt: PrefixLocality,
        nowMs: Long,
    ): BackendSlots? = selectBest(profile, servers, prompt, nowMs, countsOtherHosts = true)
        ?: if (servers.mayUseOwnShare(nowMs)) selectBest(profile, servers, prompt, nowMs, false) else null

    private fun selectBest(
        profile: RequestProfile,
        servers: ServerPool,
        prompt: PrefixLocality,
        nowMs: Long,
        countsOtherHosts: Boolean,
    ): BackendSlots? {
        val preference = longPrompts.preferenceOf(profile, servers)
        val draw = ServerDraw(profile, isDrawn = servers.isMemoryKnown)
        for (slots in servers.slots) {
            if (!slots.hasRoom(nowMs, countsOtherHosts)) continue
            if (!slots.hasMemoryFor(profile, servers.times, countsOtherHosts)) continue
            val penaltyMs = preference?.penaltyMs(profile, slots) ?: 0.0
            draw.add(slots, score(profile, slots, servers, prompt, nowMs) + penaltyMs)
        }
        return draw.result()
    }

    private fun score(
        profile: RequestProfile,
        slots: BackendSlots,
        servers: ServerPool,
        prompt: PrefixLocality,
        nowMs: Long,
    ): Double {
        val firstMs = predictMs(profile, slots, servers, prompt.expectedPrefillTokens(profile, slots), nowMs)
        val latenessMs =
            if (profile.targetMs > 0) maxOf(0.0, firstMs - profile.targetMs * AT_RISK_TARGET_SHARE) else 0.0
        val triedPenaltyMs = if (slots.name in profile.triedBackendServers) TRIED_PENALTY_MS else 0.0
        val failurePenaltyMs =
            slots.failureRate.at(nowMs) * if (profile.isIdempotent) RETRY_PENALTY_MS else LOST_REQUEST_PENALTY_MS
        val tieBreakMs =
            TIE_BREAK_MS * PrefixLocality.rendezvousWeight(slots, profile.id.requestNumber) / Long.MAX_VALUE
        return firstMs + prompt.recomputedTokens(profile, slots) * RECOMPUTE_PENALTY_MS_PER_TOKEN +
            latenessMs * LATENESS_WEIGHT + triedPenaltyMs + failurePenaltyMs + tieBreakMs
    }

    private fun predictMs(
        profile: RequestProfile,
        slots: BackendSlots,
        servers: ServerPool,
        tokens: Double,
        nowMs: Long,
    ): Double {
        val times = servers.times
        val factor = slots.slowdown.factor(nowMs) * slots.currentSpeed.factor(nowMs)
        if (profile.promptTokens == 0) {
            return times.meanMs() * maxOf(1.0, (slots.load() + 1.0) / slots.capacity) * factor +
                slots.load() * LOAD_TIE_BREAK_MS
        }
        val aheadTokens = slots.pendingPrefillTokens(times.meanUncachedTokens(), nowMs)
        val batchFactor = 1 + BATCH_SLOWDOWN * slots.load() / slots.capacity
        return times.firstByte.predictMs(aheadTokens + tokens) * factor * batchFactor
    }

    private companion object {
        const val TRIED_PENALTY_MS = 1e9

        /** Delay that recomputing a shared token causes to other requests; three times its own prefill time. */
        const val RECOMPUTE_PENALTY_MS_PER_TOKEN = 0.06

        /** Share of the target above which a first byte counts as at risk. */
        const val AT_RISK_TARGET_SHARE = 0.7
        const val LATENESS_WEIGHT = 2.0

        /** Failure cost as a delay: a retry repeats the prefill, and a request that must not run twice is lost. */
        const val RETRY_PENALTY_MS = 1_500.0
        const val LOST_REQUEST_PENALTY_MS = 4_000.0
        const val TIE_BREAK_MS = 2.0
        const val LOAD_TIE_BREAK_MS = 0.5

        /**
         * A full batch slows prefill by more than it slows decoding, because it may hold prompts of other hosts that
         * are not prefilled yet.
         */
        const val BATCH_SLOWDOWN = 1.0
    }
}
