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

/** One daemon with stand-in backend servers in one process: the smallest whole system. */
internal class DemoSite(
    callerPort: Int,
    private val engineModel: EngineModel = EngineModel(decodeMicrosPerToken = DECODE_MICROS),
) : AutoCloseable {
    private val dataFolder: Path = Files.createTempDirectory("arbutus-demo")
    private val node = Node(settings(callerPort))
    private val engines = List(ENGINES) { StandInEngine(engineModel) }
    private val service = StandInService()
    private val announcers = mutableListOf<Announcer>()
    private val http = OkHttpClient()

    /** Base address for callers; valid after [start]. */
    val address: String get() = "http://127.0.0.1:${node.callerPort}"

    /** Addresses of the stand-in backend servers by name. */
    val backendServers: Map<String, String> =
        engines.mapIndexed { index, engine -> "engine-$index" to engine.address }.toMap() +
            ("bulletin-0" to service.address)

    /** Starts all parts and waits until requests are served; returns why that failed, or null. */
    fun start(): String? {
        val started = runBlocking { node.start() }
        if (started is Either.Left) return "${started.value.key}: ${started.value.message}"
        announceAll()
        return if (await { publish() } && await { isServing() }) null else "the demo did not become ready"
    }

    /** Returns how often each posting ran. */
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
            availabilityZone = ZONE,
            address = serverAddress,
            incarnation = 1,
            sequence = 1,
            capacity = engineModel.capacity.toLong(),
            models = listOf(serviceName),
        )
        announcers += Announcer(listOf(address), BACKEND_TOKEN, announcement, load).start()
    }

    private fun publish(): Boolean = call(
        Request.Builder().url("$address/v1/manifest").header("Authorization", "Bearer $OPERATOR_TOKEN")
            .post(resource("demo-manifest.toml").toRequestBody()).build(),
    )

    private fun isServing(): Boolean = SERVICE_CALLS.all { (path, body, kind) ->
        call(
            Request.Builder().url(address + path).header("Authorization", "Bearer $CALLER_TOKEN")
                .header("Arbutus-Kind", kind).post(body.toRequestBody()).build(),
        )
    }

    private fun call(request: Request): Boolean = try {
        http.newCall(request).execute().use { it.isSuccessful }
    } catch (_: IOException) {
        false
    }

    private fun await(condition: () -> Boolean): Boolean {
        repeat(ATTEMPTS) {
            if (condition()) return true
            Thread.sleep(ATTEMPT_PERIOD_MS)
        }
        return false
    }

    private fun settings(callerPort: Int) = DaemonSettings(
        hostName = HOST,
        region = REGION,
        availabilityZone = ZONE,
        bindAddress = "127.0.0.1",
        callerPort = callerPort,
        linkPort = 0,
        dataFolder = dataFolder.toString(),
        sharedSecret = "demo-secret",
        operatorToken = OPERATOR_TOKEN,
        backendServerToken = BACKEND_TOKEN,
        manifestVoters = listOf(HOST),
        ledgerVoters = listOf(HOST),
        isFounding = true,
        shutdownTimeoutMs = 10_000,
    )

    companion object {
        /** Token of the demo's caller. */
        const val CALLER_TOKEN: String = "demo-token"

        /** Token of operator calls of the demo. */
        const val OPERATOR_TOKEN: String = "demo-operator"

        /** Returns the text of a file beside this class. */
        fun resource(name: String): String =
            checkNotNull(DemoSite::class.java.getResource("/org/arbutusrelay/ctl/$name")) {
                "no resource $name"
            }.readText()

        private const val BACKEND_TOKEN = "demo-backend-server"
        private const val HOST = "demo-1"
        private const val REGION = "demo"
        private const val ZONE = "demo-a"
        private const val ENGINES = 2
        private const val DECODE_MICROS = 2_000L
        private const val ATTEMPTS = 200
        private const val ATTEMPT_PERIOD_MS = 50L
        private val SERVICE_CALLS = listOf(
            Triple(
                "/v1/chat/completions",
                """{"model":"drafting","max_tokens":1,"messages":[{"role":"user","content":"ready?"}]}""",
                "draft",
            ),
            Triple("/v1/services/bulletin/ready", "{}", "query"),
        )
    }
}
