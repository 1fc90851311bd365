package org.arbutusrelay.samples

import org.arbutusrelay.schema.api.Announcement
import org.arbutusrelay.schema.manifest.Service
import org.arbutusrelay.standin.announce.Announcer
import org.arbutusrelay.standin.engine.EngineModel
import org.arbutusrelay.standin.engine.StandInEngine
import org.arbutusrelay.standin.service.StandInService
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicLong

/** One stand-in backend server of a site; it keeps the run counts of its earlier incarnations. */
internal class SiteBackend(
    val name: String,
    val service: Service,
    val region: String,
    private val zone: String,
    private val entryHosts: List<String>,
    private val token: String,
) : AutoCloseable {
    private val engines = CopyOnWriteArrayList<StandInEngine>()
    private val services = CopyOnWriteArrayList<StandInService>()
    private var announcer: Announcer? = null
    private var incarnation = 0L

    /** Crashes that a request caused. */
    val requestCrashes = AtomicLong()

    val isEngine: Boolean get() = service.type == Service.Type.ENGINE

    /** Starts a new incarnation and announces it. */
    @Synchronized
    fun start() {
        incarnation++
        if (isEngine) startEngine() else services += StandInService(WORK_MS)
        announce()
    }

    /** Announces the running incarnation again after [leave]. */
    @Synchronized
    fun rejoin() {
        incarnation++
        announce()
    }

    /** Tells the entry hosts that this server takes no new work. */
    @Synchronized
    fun leave() {
        announcer?.leave()
    }

    /** Ends without notice. */
    @Synchronized
    fun crash() {
        announcer?.close()
        engines.lastOrNull()?.close()
        services.lastOrNull()?.close()
    }

    /** Makes an engine slower by [factor]. */
    fun slowDown(factor: Double) {
        engines.last().slowDown(factor)
    }

    /** Runs by request identifier (engines) or body (plain services), of all incarnations. */
    fun runCounts(): Map<String, Long> = (engines.map { it.runCounts() } + services.map { it.runCounts() })
        .flatMap { it.entries }.groupBy({ it.key }, { it.value }).mapValues { it.value.sum() }

    override fun close(): Unit = crash()

    private fun startEngine() {
        val engine = StandInEngine(EngineModel(capacity = CAPACITY, decodeMicrosPerToken = DECODE_MICROS))
        engine.onCrash = { Thread(::crashAndRestart, "stand-in-crash").apply { isDaemon = true }.start() }
        engines += engine
    }

    // Keeps the lock until the restart, so that an announcement to leave is not followed by one of the new incarnation.
    @Synchronized
    private fun crashAndRestart() {
        requestCrashes.incrementAndGet()
        crash()
        Thread.sleep(RESTART_MS)
        start()
    }

    private fun announce() {
        val address = if (isEngine) engines.last().address else services.last().address
        val announcement = Announcement(
            name = name,
            service = service.name,
            region = region,
            availabilityZone = zone,
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
        private const val DECODE_MICROS = 2_000L
        private const val WORK_MS = 20L
        private const val RESTART_MS = 1_000L
    }
}

/** All stand-in backend servers of a site: engines by region as section 2 of the design says, one plain server each. */
internal class SiteBackends(sample: Sample, ports: SitePorts) : AutoCloseable {
    /** The servers, in the order of regions. */
    val servers: List<SiteBackend> = sample.manifest.regions.flatMapIndexed { index, region ->
        val hosts = sample.hosts.filter { it.region == region.name }
        val addresses = hosts.map { ports.address(it.hostName) }
        sample.manifest.services.flatMap { service ->
            val isEngine = service.type == Service.Type.ENGINE
            List(if (isEngine) engineCounts(sample)[index] else 1) { number ->
                val zone = region.availabilityZones[number % region.availabilityZones.size]
                val name = "${service.name}-${region.name}-$number"
                SiteBackend(name, service, region.name, zone, addresses, hosts.first().backendServerToken)
            }
        }
    }

    fun start(): Unit = servers.forEach(SiteBackend::start)

    override fun close(): Unit = servers.forEach(SiteBackend::close)

    // The Registry runs 12 engines and the Utility 8; the region with two hosts has the fewest.
    private fun engineCounts(sample: Sample): List<Int> =
        if (sample.manifest.services.any { it.name == "drafting" }) listOf(5, 4, 3) else listOf(3, 3, 2)
}
