package org.arbutusrelay.core.routing

/** Which backend servers hold how much of one prompt's shared head, as far as this host knows or may assume. */
internal class HeldPrompt private constructor(
    private val preferred: BackendSlots?,
    private val holder: BackendSlots?,
    private val holderUncached: Int,
) {
    /** Returns the tokens that [slots] is expected to read after copying what another one holds. */
    fun expectedTokens(profile: RequestProfile, slots: BackendSlots): Double {
        val ownTokens = profile.promptTokens - profile.sharedTokens
        val unread = sharedUncached(profile, slots)
        if (slots === preferred) return ownTokens + unread * UNSEEN_SHARE
        if (!profile.canImportCache) return (ownTokens + unread).toDouble()
        val importable = maxOf(0.0, unread - leftAtSource(profile))
        return ownTokens + unread - importable * IMPORT_GAIN
    }

    /** Returns the shared tokens that count as read again; copying costs a fraction of reading. */
    fun rereadCost(profile: RequestProfile, slots: BackendSlots): Double =
        maxOf(0.0, expectedTokens(profile, slots) - (profile.promptTokens - profile.sharedTokens))

    /** Returns the backend server that [slots] should copy from; null when none is known or assumed to have more. */
    fun sourceFor(profile: RequestProfile, slots: BackendSlots): BackendSlots? {
        val unread = sharedUncached(profile, slots)
        if (unread < MIN_IMPORT_TOKENS) return null
        val source = if (holder != null && holderUncached < unread) holder else preferred
        return source?.takeIf { it !== slots }
    }

    private fun leftAtSource(profile: RequestProfile): Double {
        val known = if (holder == null) profile.sharedTokens.toDouble() else holderUncached.toDouble()
        val assumed = if (preferred == null) profile.sharedTokens.toDouble() else profile.sharedTokens * UNSEEN_SHARE
        return minOf(known, assumed)
    }

    companion object {
        /** Share of a prompt's head that the preferred backend server is taken not to hold yet. */
        private const val UNSEEN_SHARE = 0.3

        /** What copying saves of the time to read. */
        private const val IMPORT_GAIN = 0.9

        /** A shorter head is read about as fast as it is copied. */
        private const val MIN_IMPORT_TOKENS = 512

        fun of(profile: RequestProfile, servers: ServiceServers): HeldPrompt {
            if (profile.affinityHash == 0L) return HeldPrompt(null, null, 0)
            val preferred = servers.slots.maxByOrNull { rank(it, profile.affinityHash) }
            val holder = servers.slots.minByOrNull { sharedUncached(profile, it) }
            val holderUncached = holder?.let { sharedUncached(profile, it) } ?: 0
            val isHeld = holderUncached < profile.sharedTokens
            return HeldPrompt(preferred, holder.takeIf { isHeld }, holderUncached)
        }

        fun rank(slots: BackendSlots, seed: Long): Long = BackendSlots.mix(slots.nameHash xor seed) ushr 1

        private fun sharedUncached(profile: RequestProfile, slots: BackendSlots): Int =
            maxOf(
                0,
                EarliestFinishServerSelector.uncachedTokens(profile, slots) -
                    (profile.promptTokens - profile.sharedTokens),
            )
    }
}
