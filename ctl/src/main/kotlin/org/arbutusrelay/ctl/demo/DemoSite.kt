package org.arbutusrelay.ctl.demo

import arrow.core.Either
import kotlinx.coroutines.runBlocking
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.arbutusrelay.daemon.node.Node
import org.arbutusrelay.schema.api.Announcement
import org.arbutusrelay.schema.settings.DaemonSettings
import org.arbutusrelay.standin.announce.Announcer
import org.arbutusrelay.standin.announce.ServerLoad
import org.arbutusrelay.standin.engine.EngineModel
import org.arbutusrelay.standin.engine.StandInEngine
import org.arbutusrelay.standin.service.StandInService
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** A minimal complete system in one process: one daemon with stand-in backend servers. */
internal class DemoSite(
    callerPort: Int,
    private val engineModel: EngineModel = EngineModel(decodeMicrosPerToken = DECODE_MICROS_PER_TOKEN),
) : AutoCloseable {
    private val dataFolder: Path = Files.createTempDirectory("arbutus-demo")
    private val node = Node(daemonSettings(callerPort))
    private val engines = List(ENGINE_COUNT) { StandInEngine(engineModel) }
    private val service = StandInService()
    private val announcers = mutableListOf<Announcer>()
    private val http = OkHttpClient()

    /** Base URL for callers; valid after [start]. */
    val address: String get() = "http://127.0.0.1:${node.callerPort}"

    /** Base URLs of the stand-in backend servers, by name. */
    val backendServers: Map<String, String> =
        engines.mapIndexed { index, engine -> "engine-$index" to engine.address }.toMap() +
            ("bulletin-0" to service.address)

    /** Starts all components and waits until requests are served; returns an error message, or null on success. */
    fun start(): String? {
        val startResult = runBlocking { node.start() }
        if (startResult is Either.Left) return "${startResult.value.key}: ${startResult.value.message}"
        announceAll()
        return if (pollUntil { publish() } && pollUntil { isServing() }) null else "the demo did not become ready"
    }

    /** Returns how often the plain service ran each request body. */
    fun runCounts(): Map<String, Long> = service.runCounts()

    override fun close() {
        announcers.forEach(Announcer::close)
        runBlocking { node.stop() }
        engines.forEach(StandInEngine::close)
        service.close()
        http.dispatcher.executorService.shutdown()
        http.connectionPool.evictAll()
        dataFolder.toFile().deleteRecursively()
    }

    private fun announceAll() {
        engines.forEachIndexed { index, engine -> announce("engine-$index", "drafting", engine.address, engine::load) }
        announce("bulletin-0", "bulletin", service.address, service::load)
    }

    private fun announce(name: String, serviceName: String, serverAddress: String, load: () -> ServerLoad) {
        val announcement = Announcement(
            name = name,
            service = serviceName,
            region = REGION,
            availabilityZone = AVAILABILITY_ZONE,
            address = serverAddress,
            incarnation = 1,
            sequence = 1,
            capacity = engineModel.capacity.toLong(),
            models = listOf(serviceName),
        )
        announcers += Announcer(listOf(address), BACKEND_TOKEN, announcement, load).start()
    }

    private fun publish(): Boolean = isSuccessful(
        Request.Builder().url("$address/v1/manifest").header("Authorization", "Bearer $OPERATOR_TOKEN")
            .post(resource("demo-manifest.toml").toRequestBody()).build(),
    )

    private fun isServing(): Boolean = READINESS_CALLS.all { (path, body, kind) ->
        isSuccessful(
            Request.Builder().url(address + path).header("Authorization", "Bearer $CALLER_TOKEN")
                .header("Arbutus-Kind", kind).post(body.toRequestBody()).build(),
        )
    }

    private fun isSuccessful(request: Request): Boolean = try {
        http.newCall(request).execute().use { it.isSuccessful }
    } catch (_: IOException) {
        false
    }

    private fun pollUntil(condition: () -> Boolean): Boolean {
        repeat(MAX_POLLS) {
            if (condition()) return true
            Thread.sleep(POLL_INTERVAL_MS)
        }
        return false
    }

    private fun daemonSettings(callerPort: Int) = DaemonSettings(
        hostName = HOST_NAME,
        region = REGION,
        availabilityZone = AVAILABILITY_ZONE,
        bindAddress = "127.0.0.1",
        callerPort = callerPort,
        linkPort = 0,
        dataFolder = dataFolder.toString(),
        sharedSecret = "demo-secret",
        operatorToken = OPERATOR_TOKEN,
        backendServerToken = BACKEND_TOKEN,
        manifestVoters = listOf(HOST_NAME),
        ledgerVoters = listOf(HOST_NAME),
        isFounding = true,
        shutdownTimeoutMs = 10_000,
    )

    companion object {
        /** Token of the demo caller. */
        const val CALLER_TOKEN: String = "demo-token"

        /** Token of the demo operator. */
        const val OPERATOR_TOKEN: String = "demo-operator"

        /** Returns the text of a resource file of the demo. */
        fun resource(name: String): String =
            checkNotNull(DemoSite::class.java.getResource("/org/arbutusrelay/ctl/$name")) {
                "resource $name is missing"
            }.readText()

        private const val BACKEND_TOKEN = "demo-backend-server"
        private const val HOST_NAME = "demo-1"
        private const val REGION = "demo"
        private const val AVAILABILITY_ZONE = "demo-a"
        private const val ENGINE_COUNT = 2
        private const val DECODE_MICROS_PER_TOKEN = 2_000L
        private const val MAX_POLLS = 200
        private const val POLL_INTERVAL_MS = 50L
        private val READINESS_CALLS = listOf(
            Triple(
                "/v1/chat/completions",
                """{"model":"drafting","max_tokens":1,"messages":[{"role":"user","content":"ready?"}]}""",
                "draft",
            ),
            Triple("/v1/services/bulletin/ready", "{}", "query"),
        )
    }
}
