package org.arbutusrelay.samples

import arrow.core.Either
import kotlinx.coroutines.runBlocking
import org.arbutusrelay.daemon.node.Node
import org.arbutusrelay.schema.settings.DaemonSettings
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList

/** The daemons of a site, each a [Node] of this process with its own data folder. */
internal class SiteHosts(private val sample: Sample, private val ports: SitePorts, private val data: Path) :
    AutoCloseable {
    private val running = ConcurrentHashMap<String, Node>()
    private val all = CopyOnWriteArrayList<Pair<String, Node>>()

    /** Names of the hosts that run now. */
    val names: Set<String> get() = running.keys.toSet()

    /** Settings of all hosts as in the sample. */
    val settings: List<DaemonSettings> get() = sample.hosts

    /** Starts a host; throws when it cannot be started. */
    fun start(hostName: String, isFounding: Boolean = false) {
        val host = sample.hosts.first { it.hostName == hostName }
        val node = Node(ports.settings(host, data, isFounding))
        val started = runBlocking { node.start() }
        if (started is Either.Left) error("$hostName: ${started.value.key}: ${started.value.message}")
        all += hostName to node
        running[hostName] = node
    }

    /** Ends a host at once. */
    fun end(hostName: String) {
        running.remove(hostName)?.close()
    }

    /** Deletes the data folder of a host that does not run. */
    fun deleteData(hostName: String) {
        check(hostName !in names) { "$hostName is running" }
        data.resolve(hostName).toFile().deleteRecursively()
    }

    /** Stops a host gracefully; returns false when it interrupted requests. */
    fun stop(hostName: String): Boolean {
        val node = running[hostName] ?: return true
        return runBlocking { node.stop() }.also { running.remove(hostName) }
    }

    /** Returns one line for each guarantee that any process of the run has violated. */
    fun violations(): List<String> = all.flatMap { (name, node) ->
        VIOLATION.findAll(node.metrics.scrape()).filter { it.groupValues[2].toDouble() > 0 }
            .map { "$name: ${it.groupValues[1]} ${it.groupValues[2]}" }
    }

    /** Returns the sums of the error counters of all processes, by kind; kinds that never occurred are left out. */
    fun errorCounts(): Map<String, Long> = all.flatMap { (_, node) ->
        ERROR.findAll(node.metrics.scrape()).map { it.groupValues[1] to it.groupValues[2].toDouble().toLong() }
    }.groupBy({ it.first }, { it.second }).mapValues { it.value.sum() }.filterValues { it > 0 }

    override fun close() {
        running.keys.toList().map { name -> Thread { end(name) }.apply { start() } }.forEach(Thread::join)
    }

    private companion object {
        private val VIOLATION = Regex("""arbutus_guarantee_violations_total\{guarantee="([^"]+)"} (\S+)""")
        private val ERROR = Regex("""arbutus_errors_total\{kind="([^"]+)"} (\S+)""")
    }
}
