package org.arbutusrelay.samples

import org.arbutusrelay.schema.settings.LoadClass
import org.arbutusrelay.standin.load.LoadGenerator
import java.nio.file.Files
import java.nio.file.Path
import java.security.MessageDigest
import java.util.concurrent.atomic.AtomicLong

/** A whole site in one process: the daemons of a sample, stand-in backend servers and links, callers and operators. */
internal class Site(val sample: Sample) : AutoCloseable {
    private val data: Path = Files.createTempDirectory("arbutus-site")
    private val link = sample.manifest.links.first()
    val ports: SitePorts = SitePorts(sample, link.oneWayDelayMs, link.capacityBitsPerSecond)
    val hosts: SiteHosts = SiteHosts(sample, ports, data)
    val backends: SiteBackends = SiteBackends(sample, ports)
    val operator: SiteOperator = SiteOperator(sample, ports)
    val record: SiteRecord = SiteRecord()

    /** Number of the newest manifest that was published. */
    val newestNumber: AtomicLong = AtomicLong(sample.manifest.number)

    val regions: List<String> = sample.manifest.regions.map { it.name }

    /** Starts all parts and waits until every host serves; returns false when that did not happen. */
    fun start(): Boolean {
        sample.hosts.map { host -> Thread { startHost(host.hostName) }.apply { start() } }.forEach(Thread::join)
        if (record.problems().isNotEmpty()) return false
        backends.start()
        val first = sample.hosts.first().hostName
        return await { operator.publish(first, sample.manifestText) == SiteOperator.OK } &&
            await { sample.hosts.all { operator.isReady(it.hostName) } } &&
            await { sample.hosts.all { operator.availableServers(it.hostName) == serversOf(it.region) } }
    }

    private fun startHost(hostName: String) = try {
        hosts.start(hostName, isFounding = true)
    } catch (e: IllegalStateException) {
        record.fail("$hostName did not start: ${e.message}")
    }

    /** Waits until [condition] holds; returns false after [timeoutMs]. */
    fun await(timeoutMs: Long = START_TIMEOUT_MS, condition: () -> Boolean): Boolean {
        val endNanos = System.nanoTime() + timeoutMs * NANOS_PER_MS
        while (!condition()) {
            if (System.nanoTime() >= endNanos) return false
            Thread.sleep(POLL_MS)
        }
        return true
    }

    /** Returns the classes of the workload whose callers have their home in [region]. */
    fun classesOf(region: String): List<LoadClass> = sample.workload.classes.filter { homeOf(it.token) == region }

    /** Returns the regions where requests of [loadClass] may be processed. */
    fun allowedRegions(loadClass: LoadClass): Set<String> {
        val caller = callerOf(loadClass.token)
        val service = sample.manifest.services.first { it.name == loadClass.service }
        return if (caller.isBoundToHome) setOf(caller.homeRegion) else service.regions.toSet()
    }

    /** Runs the classes of [region] from there, with the other regions' hosts as the last resort. */
    fun load(region: String, seed: Long, durationMs: Long, maxRequests: Long): LoadGenerator {
        val workload = sample.workload.copy(
            seed = seed,
            durationMs = durationMs,
            maxRequests = maxRequests,
            classes = classesOf(region),
        )
        return LoadGenerator(workload, addressesFrom(region), isBrokenResponseRetried = true, onOutcome = record::add)
    }

    /** Returns the addresses of all hosts, those of [region] first. */
    fun addressesFrom(region: String): List<String> =
        sample.hosts.sortedBy { it.region != region }.map { ports.address(it.hostName) }

    override fun close() {
        hosts.close()
        backends.close()
        ports.close()
        operator.close()
        data.toFile().deleteRecursively()
    }

    private fun serversOf(region: String): Int = backends.servers.count { it.region == region }

    private fun homeOf(token: String): String = callerOf(token).homeRegion

    private fun callerOf(token: String) = sha256(token).let { hash ->
        sample.manifest.callers.first { hash in it.tokenSha256 }
    }

    private fun sha256(text: String): String =
        MessageDigest.getInstance("SHA-256").digest(text.toByteArray()).joinToString("") { "%02x".format(it) }

    private companion object {
        private const val START_TIMEOUT_MS = 20_000L
        private const val POLL_MS = 50L
        private const val NANOS_PER_MS = 1_000_000L
    }
}
