package org.arbutusrelay.samples

import org.arbutusrelay.schema.api.Announcement
import org.arbutusrelay.schema.manifest.Service
import org.arbutusrelay.standin.announce.Announcer
import org.arbutusrelay.standin.engine.EngineModel
import org.arbutusrelay.standin.engine.StandInEngine
import org.arbutusrelay.standin.service.StandInService
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicLong

/** A stand-in backend server of a site; retains the run counts of its earlier incarnations. */
internal class SiteBackend(
    val name: String,
    val service: Service,
    val region: String,
    private val availabilityZone: String,
    private val entryHosts: List<String>,
    private val token: String,
) : AutoCloseable {
    private val engines = CopyOnWriteArrayList<StandInEngine>()
    private val services = CopyOnWriteArrayList<StandInService>()
    private var announcer: Announcer? = null
    private var incarnation = 0L

    /** Number of crashes caused by requests. */
    val requestCrashCount = AtomicLong()

    val isEngine: Boolean get() = service.type == Service.Type.ENGINE

    /** Starts a new stand-in and announces it with a new incarnation. */
    @Synchronized
    fun start() {
        incarnation++
        if (isEngine) startEngine() else services += StandInService(SERVICE_TIME_MS)
        announce()
    }

    /** Announces the running stand-in with a new incarnation after [leave]. */
    @Synchronized
    fun rejoin() {
        incarnation++
        announce()
    }

    /** Announces to the entry hosts that this server accepts no new requests. */
    @Synchronized
    fun leave() {
        announcer?.leave()
    }

    /** Stops the server without announcing its departure. */
    @Synchronized
    fun crash() {
        announcer?.close()
        engines.lastOrNull()?.close()
        services.lastOrNull()?.close()
    }

    /** Makes an engine slower by [factor]; 1 restores its normal speed. */
    fun slowDown(factor: Double) {
        engines.last().slowDown(factor)
    }

    /** Returns the run counts of all incarnations by request identifier (engines) or request body (plain services). */
    fun runCounts(): Map<String, Long> = (engines.map { it.runCounts() } + services.map { it.runCounts() })
        .flatMap { it.entries }.groupBy({ it.key }, { it.value }).mapValues { it.value.sum() }

    override fun close(): Unit = crash()

    private fun startEngine() {
        val engine = StandInEngine(EngineModel(capacity = CAPACITY, decodeMicrosPerToken = DECODE_MICROS_PER_TOKEN))
        engine.onCrash = { Thread(::crashAndRestart, "stand-in-crash").apply { isDaemon = true }.start() }
        engines += engine
    }

    // Holds the lock until the restart so that a concurrent leave is not superseded by the announcement of the restart.
    @Synchronized
    private fun crashAndRestart() {
        requestCrashCount.incrementAndGet()
        crash()
        Thread.sleep(RESTART_DELAY_MS)
        start()
    }

    private fun announce() {
        val address = if (isEngine) engines.last().address else services.last().address
        val announcement = Announcement(
            name = name,
            service = service.name,
            region = region,
            availabilityZone = availabilityZone,
            address = address,
            incarnation = incarnation,
            sequence = 1,
            capacity = CAPACITY.toLong(),
            models = listOf(service.name),
        )
        val load = if (isEngine) engines.last()::load else services.last()::load
        announcer = Announcer(entryHosts, token, announcement, load).start()
    }

    private companion object {
        private const val CAPACITY = 16
        private const val DECODE_MICROS_PER_TOKEN = 2_000L
        private const val SERVICE_TIME_MS = 20L
        private const val RESTART_DELAY_MS = 1_000L
    }
}

/** Stand-in backend servers of a site: in each region, engines as in section 2 of the design and one plain server. */
internal class SiteBackends(sample: Sample, network: SiteNetwork) : AutoCloseable {
    /** All servers, grouped by region in manifest order. */
    val servers: List<SiteBackend> = sample.manifest.regions.flatMapIndexed { index, region ->
        val hosts = sample.hosts.filter { it.region == region.name }
        val addresses = hosts.map { network.address(it.hostName) }
        sample.manifest.services.flatMap { service ->
            val isEngine = service.type == Service.Type.ENGINE
            List(if (isEngine) engineCounts(sample)[index] else 1) { number ->
                val availabilityZone = region.availabilityZones[number % region.availabilityZones.size]
                val name = "${service.name}-${region.name}-$number"
                SiteBackend(name, service, region.name, availabilityZone, addresses, hosts.first().backendServerToken)
            }
        }
    }

    fun start(): Unit = servers.forEach(SiteBackend::start)

    override fun close(): Unit = servers.forEach(SiteBackend::close)

    // The registry sample has 12 engines and the utility sample 8, fewest in the region with two hosts.
    private fun engineCounts(sample: Sample): List<Int> =
        if (sample.manifest.services.any { it.name == "drafting" }) listOf(5, 4, 3) else listOf(3, 3, 2)
}
