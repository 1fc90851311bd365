package org.arbutusrelay.core.routing

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/**
 * Keeps, for each service whose streams have a target for pauses, the set of backend servers that are preferred for
 * long prompts.
 *
 * The set consists of the first servers in an order by the hash of their names, so that all hosts of a region have the
 * same one without a message, and a change of its size by one moves a single server. Hosts whose measurements differ
 * have sets that contain each other.
 */
public class LongPromptServers {
    private val services = ConcurrentHashMap<String, ServicePrompts>()
    private val placements = List(PLACEMENT_COUNTERS) { AtomicLong() }

    /** Number of backend servers preferred for long prompts, over all services. */
    public val size: Int get() = services.values.sumOf { it.mix.state.longServers }

    /** Returns the placements of long or short prompts inside or outside the set, while there was one. */
    public fun placements(isLong: Boolean, isInside: Boolean): Long = placements[counterIndex(isLong, isInside)].get()

    /** Returns how [profile] prefers [servers], or null if it is to be served without a preference. */
    internal fun preferenceOf(profile: RequestProfile, servers: ServerPool): ServerPreference? {
        if (!isConcerned(profile) || servers.slots.size < PromptMix.MIN_SERVERS) return null
        // Disturbed machines make the pauses that this avoids late; servers that report none are used as before.
        if (!servers.reportsCurrentSpeed) return null
        return services[profile.serviceName]?.preferenceOf(profile, servers)
    }

    /** Records that [profile] was placed on [slots] with [uncachedTokens] to prefill. */
    internal fun recordPlaced(
        profile: RequestProfile,
        slots: BackendSlots,
        servers: ServerPool,
        uncachedTokens: Int,
    ) {
        if (!isConcerned(profile)) return
        preferenceOf(profile, servers)?.let { preference ->
            val isInside = preference.isPreferred(slots) == preference.isLong
            placements[counterIndex(preference.isLong, isInside)].incrementAndGet()
        }
        services.computeIfAbsent(profile.serviceName) { ServicePrompts() }
            .mix.record(ownTokens(profile), uncachedTokens, servers.slots.size)
    }

    private fun isConcerned(profile: RequestProfile) =
        profile.isStream && profile.targetPauseMs > 0 && profile.promptTokens > 0

    private class Members(val servers: ServerPool, val long: List<BackendSlots>, val others: List<BackendSlots>)

    private class ServicePrompts {
        val mix = PromptMix()

        @Volatile
        private var members: Members? = null

        fun preferenceOf(profile: RequestProfile, servers: ServerPool): ServerPreference? {
            val state = mix.state
            if (state.longServers == 0) return null
            val size = minOf(state.longServers, servers.slots.size - 1)
            val current = members?.takeIf { it.servers === servers && it.long.size == size }
                ?: split(servers, size).also { members = it }
            val isLong = ownTokens(profile) > state.boundTokens
            return ServerPreference(isLong, if (isLong) current.long else current.others)
        }

        private fun split(servers: ServerPool, size: Int): Members {
            val ranked = servers.slots.sortedByDescending { PrefixLocality.rendezvousWeight(it, ORDER_SEED) }
            return Members(servers, ranked.take(size), ranked.drop(size))
        }
    }

    private companion object {
        const val PLACEMENT_COUNTERS = 4

        /** Makes the order independent of the one in which the servers are chosen for the prefixes of prompts. */
        const val ORDER_SEED = 0x6c6f6e67L

        fun ownTokens(profile: RequestProfile) = profile.promptTokens - profile.sharedTokens

        fun counterIndex(isLong: Boolean, isInside: Boolean) = (if (isLong) 2 else 0) + (if (isInside) 1 else 0)
    }
}

/** The backend servers that a request prefers, as its prompt is long or short. */
internal class ServerPreference(val isLong: Boolean, val preferred: List<BackendSlots>) {
    fun isPreferred(slots: BackendSlots): Boolean = preferred.any { it === slots }

    /** Returns the cost of [slots] to the other kind of prompts, as a delay of this request. */
    fun penaltyMs(profile: RequestProfile, slots: BackendSlots): Double =
        if (isPreferred(slots)) 0.0 else profile.targetMs * PENALTY_TARGET_SHARE

    private companion object {
        /**
         * With 0.4, short prompts waited for servers of their own that were late (94% in time instead of 96%); with
         * 0.1, more of them had long pauses in a burst of long ones. Trials of docs/measurements/prompts.md.
         */
        const val PENALTY_TARGET_SHARE = 0.2
    }
}
