package org.arbutusrelay.samples

import org.arbutusrelay.schema.settings.LoadClass
import org.arbutusrelay.standin.load.LoadGenerator
import java.nio.file.Files
import java.nio.file.Path
import java.security.MessageDigest
import java.util.concurrent.atomic.AtomicLong

/** A complete site in one process: the daemons of a sample, stand-in backend servers and links, and their clients. */
internal class Site(val sample: Sample) : AutoCloseable {
    private val dataRoot: Path = Files.createTempDirectory("arbutus-site")
    private val link = sample.manifest.links.first()
    val network: SiteNetwork = SiteNetwork(sample, link.oneWayDelayMs, link.capacityBitsPerSecond)
    val hosts: SiteHosts = SiteHosts(sample, network, dataRoot)
    val backends: SiteBackends = SiteBackends(sample, network)
    val operator: OperatorClient = OperatorClient(sample, network)
    val record: SiteRecord = SiteRecord()

    /** Number of the newest published manifest. */
    val newestNumber: AtomicLong = AtomicLong(sample.manifest.number)

    val regions: List<String> = sample.manifest.regions.map { it.name }

    /** Starts all components and waits until every host is ready; returns false on failure or timeout. */
    fun start(): Boolean {
        sample.hosts.map { host -> Thread { startHost(host.hostName) }.apply { start() } }.forEach(Thread::join)
        if (record.failures().isNotEmpty()) return false
        backends.start()
        val first = sample.hosts.first().hostName
        return await { operator.publish(first, sample.manifestText) == OperatorClient.OK } &&
            await { sample.hosts.all { operator.isReady(it.hostName) } } &&
            await { sample.hosts.all { operator.availableServerCount(it.hostName) == serverCountOf(it.region) } }
    }

    private fun startHost(hostName: String) = try {
        hosts.start(hostName, isFounding = true)
    } catch (e: IllegalStateException) {
        record.fail("$hostName did not start: ${e.message}")
    }

    /** Polls until [condition] holds; returns false after [timeoutMs]. */
    fun await(timeoutMs: Long = START_TIMEOUT_MS, condition: () -> Boolean): Boolean {
        val endNanos = System.nanoTime() + timeoutMs * NANOS_PER_MS
        while (!condition()) {
            if (System.nanoTime() >= endNanos) return false
            Thread.sleep(POLL_INTERVAL_MS)
        }
        return true
    }

    /** Returns the load classes whose callers have [region] as their home region. */
    fun loadClassesOf(region: String): List<LoadClass> =
        sample.workload.classes.filter { homeRegionOf(it.token) == region }

    /** Returns the regions that may process requests of [loadClass]. */
    fun allowedRegions(loadClass: LoadClass): Set<String> {
        val caller = callerOf(loadClass.token)
        val service = sample.manifest.services.first { it.name == loadClass.service }
        return if (caller.isBoundToHome) setOf(caller.homeRegion) else service.regions.toSet()
    }

    /** Returns a load generator for the classes of [region], which prefers the hosts of that region. */
    fun loadGenerator(region: String, seed: Long, durationMs: Long, maxRequests: Long): LoadGenerator {
        val workload = sample.workload.copy(
            seed = seed,
            durationMs = durationMs,
            maxRequests = maxRequests,
            classes = loadClassesOf(region),
        )
        return LoadGenerator(
            workload,
            addressesFor(region),
            isBrokenResponseRetried = true,
            onOutcome = record::addOutcome,
        )
    }

    /** Returns the addresses of all hosts, starting with those of [region]. */
    fun addressesFor(region: String): List<String> =
        sample.hosts.sortedBy { it.region != region }.map { network.address(it.hostName) }

    override fun close() {
        hosts.close()
        backends.close()
        network.close()
        operator.close()
        dataRoot.toFile().deleteRecursively()
    }

    private fun serverCountOf(region: String): Int = backends.servers.count { it.region == region }

    private fun homeRegionOf(token: String): String = callerOf(token).homeRegion

    private fun callerOf(token: String) = sha256(token).let { hash ->
        sample.manifest.callers.first { hash in it.tokenSha256 }
    }

    private fun sha256(text: String): String =
        MessageDigest.getInstance("SHA-256").digest(text.toByteArray()).joinToString("") { "%02x".format(it) }

    private companion object {
        private const val START_TIMEOUT_MS = 20_000L
        private const val POLL_INTERVAL_MS = 50L
        private const val NANOS_PER_MS = 1_000_000L
    }
}
