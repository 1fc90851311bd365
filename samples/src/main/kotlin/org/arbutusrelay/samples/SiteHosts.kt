package org.arbutusrelay.samples

import arrow.core.Either
import kotlinx.coroutines.runBlocking
import org.arbutusrelay.daemon.node.Node
import org.arbutusrelay.schema.settings.DaemonSettings
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList

/** The daemons of a site, each a [Node] in this process with its own data folder. */
internal class SiteHosts(private val sample: Sample, private val network: SiteNetwork, private val dataRoot: Path) :
    AutoCloseable {
    private val runningNodes = ConcurrentHashMap<String, Node>()
    private val startedNodes = CopyOnWriteArrayList<Pair<String, Node>>()

    /** Names of the hosts that are running. */
    val runningNames: Set<String> get() = runningNodes.keys.toSet()

    /** Settings of all hosts, as read from the sample. */
    val settings: List<DaemonSettings> get() = sample.hosts

    /** Starts a host; throws [IllegalStateException] when it does not start. */
    fun start(hostName: String, isFounding: Boolean = false) {
        val host = sample.hosts.first { it.hostName == hostName }
        val node = Node(network.settings(host, dataRoot, isFounding))
        val startResult = runBlocking { node.start() }
        if (startResult is Either.Left) error("$hostName: ${startResult.value.key}: ${startResult.value.message}")
        startedNodes += hostName to node
        runningNodes[hostName] = node
    }

    /** Closes a host immediately, without a graceful stop. */
    fun kill(hostName: String) {
        runningNodes.remove(hostName)?.close()
    }

    /** Deletes the data folder of a host that is not running. */
    fun deleteData(hostName: String) {
        check(hostName !in runningNames) { "$hostName is running" }
        dataRoot.resolve(hostName).toFile().deleteRecursively()
    }

    /** Stops a host gracefully; returns false when the stop interrupted requests. */
    fun stop(hostName: String): Boolean {
        val node = runningNodes[hostName] ?: return true
        return runBlocking { node.stop() }.also { runningNodes.remove(hostName) }
    }

    /** Returns one line for each guarantee that a node of the run has violated. */
    fun violations(): List<String> = startedNodes.flatMap { (name, node) ->
        VIOLATION.findAll(node.metrics.scrape()).filter { it.groupValues[2].toDouble() > 0 }
            .map { "$name: ${it.groupValues[1]} ${it.groupValues[2]}" }
    }

    /** Returns the error counts of all nodes of the run, summed by kind; kinds with no errors are omitted. */
    fun errorCounts(): Map<String, Long> = startedNodes.flatMap { (_, node) ->
        ERROR.findAll(node.metrics.scrape()).map { it.groupValues[1] to it.groupValues[2].toDouble().toLong() }
    }.groupBy({ it.first }, { it.second }).mapValues { it.value.sum() }.filterValues { it > 0 }

    override fun close() {
        runningNodes.keys.toList().map { name -> Thread { kill(name) }.apply { start() } }.forEach(Thread::join)
    }

    private companion object {
        private val VIOLATION = Regex("""arbutus_guarantee_violations_total\{guarantee="([^"]+)"} (\S+)""")
        private val ERROR = Regex("""arbutus_errors_total\{kind="([^"]+)"} (\S+)""")
    }
}
