package org.arbutusrelay.standin.load

import kotlinx.serialization.json.Json
import okhttp3.OkHttpClient
import okhttp3.Request
import org.arbutusrelay.schema.api.EntryHostList
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Selects the entry hosts for a caller as the client protocol requires.
 *
 * Fetches the ranked host list from any seed that responds and caches it for its lifetime or until a host on it fails.
 */
internal class EntryHostSelector(
    private val http: OkHttpClient,
    private val seeds: List<String>,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) {
    private val cachedLists = ConcurrentHashMap<String, CachedList>()

    /** Returns the addresses to try for the caller with [token], in order of preference. */
    fun addresses(token: String): List<String> {
        val cached = cachedLists[token]
        val list = if (cached != null && cached.expiry.hasNotPassedNow()) cached else fetch(token)
        return (list?.addresses.orEmpty() + seeds).distinct()
    }

    /** Removes the cached list of the caller with [token], after a host on it failed. */
    fun invalidate(token: String) {
        cachedLists.remove(token)
    }

    private fun fetch(token: String): CachedList? {
        val list = seeds.asSequence().mapNotNull { queryHost(it, token) }.firstOrNull() ?: return null
        val cached = CachedList(list.hosts.map { it.address }, timeSource.markNow() + list.lifetimeMs.milliseconds)
        cachedLists[token] = cached
        return cached
    }

    private fun queryHost(address: String, token: String): EntryHostList? = try {
        val request = Request.Builder().url("$address/v1/entry-hosts").header("Authorization", "Bearer $token").build()
        http.newCall(request).execute().use { response ->
            if (response.isSuccessful) {
                JSON.decodeFromString(
                    EntryHostList.serializer(),
                    response.body.string(),
                )
            } else {
                null
            }
        }
    } catch (_: IOException) {
        null
    }

    private class CachedList(val addresses: List<String>, val expiry: TimeMark)

    private companion object {
        private val JSON = Json { ignoreUnknownKeys = true }
    }
}
