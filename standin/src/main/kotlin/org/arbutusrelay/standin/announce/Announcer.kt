package org.arbutusrelay.standin.announce

import kotlinx.serialization.json.Json
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.arbutusrelay.schema.api.Announcement
import java.io.IOException
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/**
 * Announces a backend server to the first entry host that accepts the announcement, and renews the lease every second.
 *
 * Entry hosts are tried in order, starting from the last one that accepted an announcement.
 */
public class Announcer(
    private val entryHosts: List<String>,
    private val token: String,
    private val template: Announcement,
    private val load: () -> ServerLoad,
) : AutoCloseable {
    private val http = OkHttpClient.Builder().callTimeout(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS).build()
    private val sequence = AtomicLong()
    private val timer = Executors.newSingleThreadScheduledExecutor { task ->
        Thread(task, "announcer-${template.name}").apply { isDaemon = true }
    }
    private var preferredIndex = 0

    /** Starts periodic announcements. */
    public fun start(): Announcer {
        timer.scheduleWithFixedDelay({ announce(isLeaving = false) }, 0, RENEWAL_INTERVAL_MS, TimeUnit.MILLISECONDS)
        return this
    }

    /** Stops renewing the lease and announces that the backend server accepts no new requests. */
    public fun leave() {
        close()
        announce(isLeaving = true)
    }

    override fun close() {
        timer.shutdownNow()
        timer.awaitTermination(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
    }

    /** Sends one announcement; returns false when no entry host accepted it. */
    @Synchronized
    private fun announce(isLeaving: Boolean): Boolean {
        val currentLoad = load()
        val announcement = template.copy(
            sequence = sequence.incrementAndGet(),
            running = currentLoad.running.toLong(),
            queued = currentLoad.queued.toLong(),
            models = (template.models + currentLoad.loaded).distinct(),
            isLeaving = isLeaving,
        )
        val body = Json.encodeToString(Announcement.serializer(), announcement)
        val acceptingIndex = entryHosts.indices.map {
            (preferredIndex + it) % entryHosts.size
        }.firstOrNull { post(entryHosts[it], body) }
        acceptingIndex?.let { preferredIndex = it }
        return acceptingIndex != null
    }

    private fun post(entryHost: String, body: String): Boolean = try {
        val request = Request.Builder().url("$entryHost/v1/backend-servers/announce")
            .header("Authorization", "Bearer $token").post(body.toRequestBody(JSON_TYPE)).build()
        http.newCall(request).execute().use { it.isSuccessful }
    } catch (_: IOException) {
        false
    }

    private companion object {
        private val JSON_TYPE = "application/json".toMediaType()
        private const val CALL_TIMEOUT_MS = 800L
        private const val RENEWAL_INTERVAL_MS = 1_000L
    }
}
