package org.arbutusrelay.samples

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** Polls the manifest number of every running host and records each decrease. */
internal class ManifestMonitor(private val hosts: SiteHosts, private val operator: OperatorClient) : AutoCloseable {
    private val highestNumbers = ConcurrentHashMap<String, Long>()
    private val decreases = CopyOnWriteArrayList<String>()

    @Volatile
    private var isStopped = false
    private val threads = hosts.settings.map { host ->
        thread(isDaemon = true, name = "watch-${host.hostName}") { monitor(host.hostName) }
    }

    /** Returns one line for each decrease. */
    fun decreases(): List<String> = decreases.toList()

    override fun close() {
        isStopped = true
        threads.forEach(Thread::join)
    }

    private fun monitor(hostName: String) {
        while (!isStopped) {
            val number = if (hostName in hosts.runningNames) operator.numberInForce(hostName) else null
            val previous = highestNumbers[hostName] ?: 0
            if (number != null && number < previous) decreases += "$hostName: $previous to $number"
            if (number != null) highestNumbers[hostName] = maxOf(previous, number)
            Thread.sleep(POLL_INTERVAL_MS)
        }
    }

    private companion object {
        private const val POLL_INTERVAL_MS = 200L
    }
}
