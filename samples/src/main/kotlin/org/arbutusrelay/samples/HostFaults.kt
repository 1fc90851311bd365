package org.arbutusrelay.samples

import kotlin.random.Random

/** Failures of hosts. */
internal class HostFaults(private val site: Site, private val random: Random) {
    private val record = site.record

    /** The host that is stopped gracefully; a third one of its region, so that both groups keep a majority. */
    val stopped: String = site.sample.hosts.filter { it.hostName.endsWith("-3") }.random(random).hostName

    fun endStateHost() {
        val candidates = site.sample.hosts.filter { it.dataFolder != null && it.hostName != stopped }
        restart(candidates.random(random).hostName)
        record.count(SiteFault.STATE_HOST_ENDED)
    }

    /** Replaces the disk of a state host in a region that keeps a majority without it. */
    fun loseDisk() {
        val regions = site.sample.hosts.filter { it.dataFolder != null }.groupBy { it.region }
        val candidates = regions.values.filter { it.size >= SAFE_VOTERS }.flatten().filter { it.hostName != stopped }
        val host = candidates.random(random).hostName
        site.hosts.end(host)
        site.hosts.deleteData(host)
        record.count(SiteFault.DISK_LOST)
        startAgain(host)
    }

    fun endDisklessHost() {
        restart(site.sample.hosts.filter { it.dataFolder == null }.random(random).hostName)
        record.count(SiteFault.DISKLESS_HOST_ENDED)
    }

    fun stopGracefully() {
        if (!site.hosts.stop(stopped)) record.fail("the graceful stop of $stopped interrupted requests")
        record.count(SiteFault.GRACEFUL_STOP)
        startAgain(stopped)
    }

    private fun restart(hostName: String) {
        site.hosts.end(hostName)
        Thread.sleep(random.nextLong(MIN_DOWN_MS, MAX_DOWN_MS))
        startAgain(hostName)
    }

    private fun startAgain(hostName: String) {
        site.hosts.start(hostName)
        if (!site.await { site.operator.isReady(hostName) }) record.fail("$hostName did not serve after its restart")
    }

    private companion object {
        private const val MIN_DOWN_MS = 500L
        private const val MAX_DOWN_MS = 2_500L
        private const val SAFE_VOTERS = 3
    }
}
