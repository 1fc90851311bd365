package org.arbutusrelay.samples

import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.arbutusrelay.schema.settings.LoadClass
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Failures of backend servers; plain servers fail in [plainRegion] only, which is not cut off meanwhile. */
internal class ServerFaults(private val site: Site, private val random: Random, private val plainRegion: String) :
    AutoCloseable {
    private val record = site.record
    private val http = OkHttpClient.Builder().readTimeout(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .retryOnConnectionFailure(false).build()
    private var crashNumber = 0

    fun leave() {
        val server = anyServer()
        server.leave()
        record.count(SiteFault.SERVER_LEFT)
        Thread.sleep(LEAVING_BOUND_MS)
        val before = server.runCounts().values.sum()
        Thread.sleep(OBSERVE_MS)
        val after = server.runCounts().values.sum()
        if (after != before) record.fail("${server.name} got ${after - before} runs $LEAVING_BOUND_MS ms after it left")
        server.rejoin()
    }

    fun crash() {
        val server = anyServer()
        server.crash()
        record.count(SiteFault.SERVER_CRASHED)
        Thread.sleep(DOWN_MS)
        server.start()
    }

    fun slowDown() {
        val server = engines().random(random)
        server.slowDown(SLOWDOWN)
        record.count(SiteFault.SERVER_SLOWED)
        Thread.sleep(SLOW_MS)
        server.slowDown(1.0)
    }

    /**
     * Sends a request that crashes engines until it is refused as suspected.
     *
     * The number of crashes has no fixed bound: each one beside other requests delays the refusal by one, see
     * `docs/decisions/crash-suspects.md`. It is reported.
     */
    fun sendCrashingRequest() {
        val region = site.regions.random(random)
        val loadClass = site.classesOf(region)
            .first { it.type == LoadClass.Type.CHAT && site.allowedRegions(it) == setOf(region) }
        val body = """{"model":"${loadClass.service}","max_tokens":4,"messages":[{"role":"user",""" +
            """"content":"crash-the-engine ${++crashNumber} ${random.nextLong()}"}]}"""
        val before = crashes()
        val answers = mutableListOf<String>()
        while (REFUSAL !in answers && answers.size < MAX_SENDINGS) {
            answers += sendOnce(loadClass, region, body)
            Thread.sleep(RESEND_MS)
        }
        record.count(SiteFault.CRASHING_REQUEST)
        val crashed = crashes() - before
        record.note("a crashing request in $region crashed $crashed engines; answers: $answers")
        if (REFUSAL !in answers) record.fail("a crashing request in $region was not refused: $answers")
    }

    override fun close() {
        http.dispatcher.executorService.shutdown()
        http.connectionPool.evictAll()
    }

    private fun sendOnce(loadClass: LoadClass, region: String, body: String): String {
        val hosts = site.sample.hosts.filter { it.region == region && it.hostName in site.hosts.names }
        val request = Request.Builder()
            .url("${site.ports.address(hosts.random(random).hostName)}/v1/chat/completions")
            .header("Authorization", "Bearer ${loadClass.token}").header("Arbutus-Kind", loadClass.kind)
            .post(body.toRequestBody()).build()
        return try {
            http.newCall(request).execute().use { KIND.find(it.body.string())?.groupValues?.get(1) ?: "${it.code}" }
        } catch (e: IOException) {
            e.toString()
        }
    }

    private fun crashes(): Long = site.backends.servers.sumOf { it.requestCrashes.get() }

    private fun engines(): List<SiteBackend> = site.backends.servers.filter { it.isEngine }

    private fun anyServer(): SiteBackend =
        site.backends.servers.filter { it.isEngine || it.region == plainRegion }.random(random)

    private companion object {
        private const val LEAVING_BOUND_MS = 3_000L
        private const val OBSERVE_MS = 1_000L
        private const val DOWN_MS = 2_000L
        private const val SLOW_MS = 3_000L
        private const val SLOWDOWN = 10.0
        private const val READ_TIMEOUT_MS = 60_000L
        private const val MAX_SENDINGS = 8
        private const val RESEND_MS = 300L
        private const val REFUSAL = "request_suspected"
        private val KIND = Regex(""""type":"([^"]+)"""")
    }
}
