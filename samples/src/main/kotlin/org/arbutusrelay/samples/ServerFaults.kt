package org.arbutusrelay.samples

import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.arbutusrelay.schema.settings.LoadClass
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Injects failures of backend servers; plain servers fail only in [plainFaultRegion], which stays connected. */
internal class ServerFaults(private val site: Site, private val random: Random, private val plainFaultRegion: String) :
    AutoCloseable {
    private val record = site.record
    private val http = OkHttpClient.Builder().readTimeout(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .retryOnConnectionFailure(false).build()
    private var crashNumber = 0

    fun leaveAndRejoin() {
        val server = randomServer()
        server.leave()
        record.countFault(SiteFault.SERVER_LEFT)
        Thread.sleep(LEAVE_TIMEOUT_MS)
        val before = server.runCounts().values.sum()
        Thread.sleep(OBSERVATION_MS)
        val after = server.runCounts().values.sum()
        if (after != before) record.fail("${server.name} got ${after - before} runs $LEAVE_TIMEOUT_MS ms after it left")
        server.rejoin()
    }

    fun crashAndRestart() {
        val server = randomServer()
        server.crash()
        record.countFault(SiteFault.SERVER_CRASHED)
        Thread.sleep(DOWNTIME_MS)
        server.start()
    }

    fun slowDown() {
        val server = engines().random(random)
        server.slowDown(SLOWDOWN_FACTOR)
        record.countFault(SiteFault.SERVER_SLOWED)
        Thread.sleep(SLOWDOWN_MS)
        server.slowDown(1.0)
    }

    /**
     * Resends a request that crashes engines until it is refused as suspected.
     *
     * The number of crashes is only reported, as it has no fixed bound: each crash while other requests run delays the
     * refusal by one. See `docs/decisions/crash-suspects.md`.
     */
    fun sendCrashingRequest() {
        val region = site.regions.random(random)
        val loadClass = site.loadClassesOf(region)
            .first { it.type == LoadClass.Type.CHAT && site.allowedRegions(it) == setOf(region) }
        val body = """{"model":"${loadClass.service}","max_tokens":4,"messages":[{"role":"user",""" +
            """"content":"crash-the-engine ${++crashNumber} ${random.nextLong()}"}]}"""
        val before = totalCrashes()
        val results = mutableListOf<String>()
        while (SUSPECTED_KIND !in results && results.size < MAX_SEND_ATTEMPTS) {
            results += sendOnce(loadClass, region, body)
            Thread.sleep(RESEND_DELAY_MS)
        }
        record.countFault(SiteFault.CRASHING_REQUEST)
        val crashed = totalCrashes() - before
        record.addNote("a crashing request in $region crashed $crashed engines; answers: $results")
        if (SUSPECTED_KIND !in results) record.fail("a crashing request in $region was not refused: $results")
    }

    override fun close() {
        http.dispatcher.executorService.shutdown()
        http.connectionPool.evictAll()
    }

    private fun sendOnce(loadClass: LoadClass, region: String, body: String): String {
        val hosts = site.sample.hosts.filter { it.region == region && it.hostName in site.hosts.runningNames }
        val request = Request.Builder()
            .url("${site.network.address(hosts.random(random).hostName)}/v1/chat/completions")
            .header("Authorization", "Bearer ${loadClass.token}").header("Arbutus-Kind", loadClass.kind)
            .post(body.toRequestBody()).build()
        return try {
            http.newCall(request).execute().use {
                ERROR_KIND.find(it.body.string())?.groupValues?.get(1) ?: "${it.code}"
            }
        } catch (e: IOException) {
            e.toString()
        }
    }

    private fun totalCrashes(): Long = site.backends.servers.sumOf { it.requestCrashCount.get() }

    private fun engines(): List<SiteBackend> = site.backends.servers.filter { it.isEngine }

    private fun randomServer(): SiteBackend =
        site.backends.servers.filter { it.isEngine || it.region == plainFaultRegion }.random(random)

    private companion object {
        private const val LEAVE_TIMEOUT_MS = 3_000L
        private const val OBSERVATION_MS = 1_000L
        private const val DOWNTIME_MS = 2_000L
        private const val SLOWDOWN_MS = 3_000L
        private const val SLOWDOWN_FACTOR = 10.0
        private const val READ_TIMEOUT_MS = 60_000L
        private const val MAX_SEND_ATTEMPTS = 8
        private const val RESEND_DELAY_MS = 300L
        private const val SUSPECTED_KIND = "request_suspected"
        private val ERROR_KIND = Regex(""""type":"([^"]+)"""")
    }
}
