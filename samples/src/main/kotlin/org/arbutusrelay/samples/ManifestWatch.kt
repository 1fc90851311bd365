package org.arbutusrelay.samples

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** Reads the manifest number of every running host several times a second and records each that decreases. */
internal class ManifestWatch(private val hosts: SiteHosts, private val operator: SiteOperator) : AutoCloseable {
    private val highest = ConcurrentHashMap<String, Long>()
    private val decreases = CopyOnWriteArrayList<String>()

    @Volatile
    private var isStopped = false
    private val threads = hosts.settings.map { host ->
        thread(isDaemon = true, name = "watch-${host.hostName}") { watch(host.hostName) }
    }

    /** Returns one line for each decrease. */
    fun decreases(): List<String> = decreases.toList()

    override fun close() {
        isStopped = true
        threads.forEach(Thread::join)
    }

    private fun watch(hostName: String) {
        while (!isStopped) {
            val number = if (hostName in hosts.names) operator.numberInForce(hostName) else null
            val before = highest[hostName] ?: 0
            if (number != null && number < before) decreases += "$hostName: $before to $number"
            if (number != null) highest[hostName] = maxOf(before, number)
            Thread.sleep(PERIOD_MS)
        }
    }

    private companion object {
        private const val PERIOD_MS = 200L
    }
}
