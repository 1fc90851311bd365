package org.arbutusrelay.core.routing

/**
 * Estimates how much of the shared prefix of one prompt each backend server has cached.
 *
 * The estimate uses the prefix cache indexes of this host, and rendezvous hashing where they have no entry.
 */
internal class PrefixLocality private constructor(
    private val affinityServer: BackendSlots?,
    private val holder: BackendSlots?,
    private val holderUncachedTokens: Int,
) {
    /**
     * Returns the tokens that [slots] is expected to prefill after importing what another backend server has cached.
     */
    fun expectedPrefillTokens(profile: RequestProfile, slots: BackendSlots): Double {
        val ownTokens = profile.promptTokens - profile.sharedTokens
        val uncachedShared = uncachedSharedTokens(profile, slots)
        if (slots === affinityServer) return ownTokens + uncachedShared * UNCACHED_SHARE
        if (!profile.canImportCache) return (ownTokens + uncachedShared).toDouble()
        val importable = maxOf(0, uncachedShared - uncachedAtSource(profile))
        return ownTokens + uncachedShared - importable * IMPORT_SAVING_SHARE
    }

    /** Returns the shared tokens to recompute; an imported token counts for a fraction of a prefilled one. */
    fun recomputedTokens(profile: RequestProfile, slots: BackendSlots): Double =
        maxOf(0.0, expectedPrefillTokens(profile, slots) - (profile.promptTokens - profile.sharedTokens))

    /** Returns the backend server to import cached tokens from, or null when none is known or assumed to have more. */
    fun importSourceFor(profile: RequestProfile, slots: BackendSlots): BackendSlots? {
        val uncachedShared = uncachedSharedTokens(profile, slots)
        if (uncachedShared < MIN_IMPORT_TOKENS) return null
        val source = if (holder != null && holderUncachedTokens < uncachedShared) holder else affinityServer
        return source?.takeIf { it !== slots }
    }

    /**
     * Returns the shared tokens that the known holder would have to prefill.
     *
     * The assumed copy on the affinity server is not counted: if importing it looked free, requests would go to any
     * server, and none of them would have the prefix.
     */
    private fun uncachedAtSource(profile: RequestProfile): Int =
        if (holder == null) profile.sharedTokens else holderUncachedTokens

    companion object {
        /** Share of a shared prefix that is assumed not to be cached yet on the affinity server. */
        private const val UNCACHED_SHARE = 0.3

        /** Share of the prefill time that importing a token saves. */
        private const val IMPORT_SAVING_SHARE = 0.9

        /** Prefill of a shorter prefix is about as fast as importing it. */
        private const val MIN_IMPORT_TOKENS = 512

        fun of(profile: RequestProfile, servers: ServerPool, preferred: List<BackendSlots>): PrefixLocality {
            if (profile.affinityHash == 0L) return PrefixLocality(null, null, 0)
            val affinityServer = preferred.maxByOrNull { rendezvousWeight(it, profile.affinityHash) }
            val holder = servers.slots.minByOrNull { uncachedSharedTokens(profile, it) }
            val holderUncachedTokens = holder?.let { uncachedSharedTokens(profile, it) } ?: 0
            val isCachedByHolder = holderUncachedTokens < profile.sharedTokens
            return PrefixLocality(affinityServer, holder.takeIf { isCachedByHolder }, holderUncachedTokens)
        }

        fun rendezvousWeight(slots: BackendSlots, seed: Long): Long = BackendSlots.mix(slots.nameHash xor seed) ushr 1

        private fun uncachedSharedTokens(profile: RequestProfile, slots: BackendSlots): Int =
            maxOf(
                0,
                EarliestFinishServerSelector.uncachedTokens(profile, slots) -
                    (profile.promptTokens - profile.sharedTokens),
            )
    }
}
