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
 * Announces a backend server to the first entry host that answers, and renews the lease once a second.
 *
 * The list of entry hosts is tried in order from the last one that answered.
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
    private var preferred = 0

    /** Starts to announce. */
    public fun start(): Announcer {
        timer.scheduleWithFixedDelay({ announce(isLeaving = false) }, 0, PERIOD_MS, TimeUnit.MILLISECONDS)
        return this
    }

    /** Announces that the backend server takes no new work, and stops renewing the lease. */
    public fun leave() {
        close()
        announce(isLeaving = true)
    }

    override fun close() {
        timer.shutdownNow()
        timer.awaitTermination(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
    }

    /** Sends one announcement; returns false when no entry host answered. */
    @Synchronized
    private fun announce(isLeaving: Boolean): Boolean {
        val now = load()
        val announcement = template.copy(
            sequence = sequence.incrementAndGet(),
            running = now.running.toLong(),
            queued = now.queued.toLong(),
            models = (template.models + now.loaded).distinct(),
            isLeaving = isLeaving,
        )
        val body = Json.encodeToString(Announcement.serializer(), announcement)
        val attempt = entryHosts.indices.map {
            (preferred + it) % entryHosts.size
        }.firstOrNull { post(entryHosts[it], body) }
        attempt?.let { preferred = it }
        return attempt != null
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
        private const val PERIOD_MS = 1_000L
    }
}
