package org.arbutusrelay.samples

import kotlin.random.Random

/** Injects failures of hosts. */
internal class HostFaults(private val site: Site, private val random: Random) {
    private val record = site.record

    /** Host that is stopped gracefully: the third of a region, so that manifest and ledger groups keep a majority. */
    val stoppedHost: String = site.sample.hosts.filter { it.hostName.endsWith("-3") }.random(random).hostName

    fun killStateHost() {
        val candidates = site.sample.hosts.filter { it.dataFolder != null && it.hostName != stoppedHost }
        restart(candidates.random(random).hostName)
        record.countFault(SiteFault.STATE_HOST_ENDED)
    }

    /** Replaces the disk of a state host in a region whose other state hosts form a majority. */
    fun replaceDisk() {
        val regions = site.sample.hosts.filter { it.dataFolder != null }.groupBy { it.region }
        val candidates = regions.values.filter { it.size >= MIN_STATE_HOSTS }.flatten()
            .filter { it.hostName != stoppedHost }
        val host = candidates.random(random).hostName
        site.hosts.kill(host)
        site.hosts.deleteData(host)
        record.countFault(SiteFault.DISK_LOST)
        startAndAwaitReady(host)
    }

    fun killDisklessHost() {
        restart(site.sample.hosts.filter { it.dataFolder == null }.random(random).hostName)
        record.countFault(SiteFault.DISKLESS_HOST_ENDED)
    }

    fun stopGracefully() {
        if (!site.hosts.stop(stoppedHost)) record.fail("the graceful stop of $stoppedHost interrupted requests")
        record.countFault(SiteFault.GRACEFUL_STOP)
        startAndAwaitReady(stoppedHost)
    }

    private fun restart(hostName: String) {
        site.hosts.kill(hostName)
        Thread.sleep(random.nextLong(MIN_DOWNTIME_MS, MAX_DOWNTIME_MS))
        startAndAwaitReady(hostName)
    }

    private fun startAndAwaitReady(hostName: String) {
        site.hosts.start(hostName)
        if (!site.await { site.operator.isReady(hostName) }) record.fail("$hostName was not ready after its restart")
    }

    private companion object {
        private const val MIN_DOWNTIME_MS = 500L
        private const val MAX_DOWNTIME_MS = 2_500L
        private const val MIN_STATE_HOSTS = 3
    }
}
