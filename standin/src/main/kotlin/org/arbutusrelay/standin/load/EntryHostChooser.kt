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
 * Chooses the entry host for a caller in the manner that callers are asked to.
 *
 * It asks any known entry host for the ranked list, keeps the list for its lifetime, and passes over hosts that failed.
 */
internal class EntryHostChooser(
    private val http: OkHttpClient,
    private val seeds: List<String>,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) {
    private val lists = ConcurrentHashMap<String, CachedList>()

    /** Returns the addresses to try for the caller with [token], best first. */
    fun addresses(token: String): List<String> {
        val cached = lists[token]
        val list = if (cached != null && cached.expiry.hasNotPassedNow()) cached else fetch(token)
        return (list?.addresses.orEmpty() + seeds).distinct()
    }

    /** Forgets the list of a caller after a host on it failed. */
    fun forget(token: String) {
        lists.remove(token)
    }

    private fun fetch(token: String): CachedList? {
        val list = seeds.asSequence().mapNotNull { ask(it, token) }.firstOrNull() ?: return null
        val cached = CachedList(list.hosts.map { it.address }, timeSource.markNow() + list.lifetimeMs.milliseconds)
        lists[token] = cached
        return cached
    }

    private fun ask(address: String, token: String): EntryHostList? = try {
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
