package org.arbutusrelay.samples

import org.arbutusrelay.schema.settings.DaemonSettings
import org.arbutusrelay.standin.link.StandInLink
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Path
import kotlin.random.Random

/**
 * Network of a site on the loopback address: free ports for all hosts, and a stand-in link from each region to each
 * host of the other regions.
 */
internal class SiteNetwork(private val sample: Sample, oneWayDelayMs: Long, capacityBitsPerSecond: Long) :
    AutoCloseable {
    private val ports = freePorts(2 * sample.hosts.size)
    private val links: Map<Pair<String, String>, StandInLink> = sample.hosts.flatMap { host ->
        regions().filter { it != host.region }.map { from ->
            (from to host.hostName) to StandInLink(linkPort(host.hostName), oneWayDelayMs, capacityBitsPerSecond)
        }
    }.toMap()

    init {
        links.values.forEach(StandInLink::start)
    }

    /** Base URL of a host for callers. */
    fun address(hostName: String): String = "http://127.0.0.1:${callerPort(hostName)}"

    /** Disconnects or reconnects all links of [region]. */
    fun setDisconnected(region: String, isDisconnected: Boolean) {
        val regionOf = sample.hosts.associate { it.hostName to it.region }
        links.filterKeys { (from, host) -> from == region || regionOf[host] == region }
            .values.forEach { it.isCut = isDisconnected }
    }

    /** Returns the number of bytes transferred between regions. */
    fun transferredBytes(): Long = links.values.sumOf(StandInLink::passedBytes)

    /** Returns the settings of a sample host for this network, with its data folder below [dataRoot]. */
    fun settings(host: DaemonSettings, dataRoot: Path, isFounding: Boolean): DaemonSettings = host.copy(
        bindAddress = "127.0.0.1",
        callerPort = callerPort(host.hostName),
        linkPort = linkPort(host.hostName),
        dataFolder = host.dataFolder?.let { dataRoot.resolve(host.hostName).toString() },
        isFounding = isFounding && host.isFounding,
        peers = host.peers.map { peer ->
            val port = links[host.region to peer.hostName]?.port ?: linkPort(peer.hostName)
            peer.copy(address = "127.0.0.1:$port")
        },
    )

    override fun close(): Unit = links.values.forEach(StandInLink::close)

    private fun regions(): List<String> = sample.hosts.map { it.region }.distinct()

    private fun index(hostName: String): Int = sample.hosts.indexOfFirst { it.hostName == hostName }

    private fun callerPort(hostName: String): Int = ports[2 * index(hostName)]

    private fun linkPort(hostName: String): Int = ports[2 * index(hostName) + 1]

    private fun freePorts(count: Int): List<Int> = generateSequence { Random.nextInt(MIN_PORT, MAX_PORT) }
        .distinct().filter(::isFree).take(count).toList()

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
        true
    } catch (_: IOException) {
        false
    }

    private companion object {
        // Below the usual ephemeral port range: an outgoing connection could take the port of a host that is down.
        private const val MIN_PORT = 20_000
        private const val MAX_PORT = 32_000
    }
}
