package org.arbutusrelay.core.membership

import java.util.PriorityQueue
import kotlin.random.Random

/** A process under test in a randomised run. */
interface VirtualProcess {
    fun linkUp(peer: VirtualHost)
    fun linkDown(peer: VirtualHost)
    fun receive(from: String, frame: org.arbutusrelay.schema.message.LinkFrame, nowMs: Long): List<Outgoing>
    fun tick(nowMs: Long): List<Outgoing>
    fun wantedLinks(nowMs: Long): Set<String>
}

data class VirtualHost(val name: String, val region: String, val zone: String, val epoch: Long)

/** Simulates links in virtual time, with delay, loss (which breaks the link, as with TCP), crashes and partitions. */
class VirtualLinks(private val random: Random) {
    private class Delivery(val atMs: Long, val order: Long, val link: Any, val to: String, val deliver: () -> Unit)

    private val processes = LinkedHashMap<String, Pair<VirtualHost, VirtualProcess>>()
    private val up = HashMap<Set<String>, Any>()
    private val retryMs = HashMap<Set<String>, Long>()
    private val lastMs = HashMap<Pair<Any, String>, Long>()
    private val queue = PriorityQueue(compareBy<Delivery>({ it.atMs }, { it.order }))
    private var nextOrder = 0L
    private val trace = ArrayDeque<String>()

    var nowMs = 0L
        private set
    var lossPerMille = 0
    var isSlow = false
    val faults = HashMap<String, Int>()

    /** Returns true while the link between the two hosts is partitioned. */
    var isCut: (VirtualHost, VirtualHost) -> Boolean = { _, _ -> false }

    fun fault(kind: String, detail: String = "") {
        faults.merge(kind, 1, Int::plus)
        addTrace("$kind $detail")
    }

    fun addTrace(line: String) {
        trace += "$nowMs $line"
        if (trace.size > 200) trace.removeFirst()
    }

    fun traceText(): String = trace.joinToString("\n")

    fun start(host: VirtualHost, process: VirtualProcess) {
        stop(host.name)
        processes[host.name] = host to process
    }

    fun stop(name: String) {
        up.keys.filter { name in it }.forEach(::breakLink)
        processes.remove(name)
    }

    fun isUp(name: String): Boolean = name in processes

    /** Advances virtual time by [durationMs] and ticks each process every 100 ms. */
    fun run(durationMs: Long, afterTick: () -> Unit = {}) {
        val endMs = nowMs + durationMs
        while (nowMs < endMs) {
            val nextTickMs = (nowMs / TICK_MS + 1) * TICK_MS
            while (queue.isNotEmpty() && queue.peek().atMs <= nextTickMs) {
                val delivery = queue.poll()
                nowMs = delivery.atMs
                if (up.containsValue(delivery.link)) delivery.deliver()
            }
            nowMs = nextTickMs
            breakCutLinks()
            for ((name, entry) in processes.toList()) {
                connect(entry)
                entry.second.tick(nowMs).forEach { send(name, it) }
            }
            afterTick()
        }
    }

    fun sendAll(from: String, frames: List<Outgoing>) = frames.forEach { send(from, it) }

    private fun send(from: String, outgoing: Outgoing) {
        val pair = setOf(from, outgoing.hostName)
        val link = up[pair] ?: return
        if (random.nextInt(1_000) < lossPerMille) {
            fault("loss")
            breakLink(pair)
            return
        }
        val (source, target) = checkNotNull(processes[from]).first to checkNotNull(processes[outgoing.hostName])
        val baseMs = if (source.region == target.first.region) 1L else 55L
        val delayMs = baseMs + if (isSlow) random.nextLong(300).also { faults.merge("delay", 1, Int::plus) } else 0
        val atMs = maxOf(nowMs + delayMs, lastMs[link to outgoing.hostName] ?: 0)
        lastMs[link to outgoing.hostName] = atMs
        queue += Delivery(atMs, nextOrder++, link, outgoing.hostName) {
            val replies = target.second.receive(from, outgoing.frame, nowMs)
            replies.forEach { send(outgoing.hostName, it) }
        }
    }

    private fun connect(entry: Pair<VirtualHost, VirtualProcess>) {
        for (peer in entry.second.wantedLinks(nowMs)) {
            val other = processes[peer] ?: continue
            val pair = setOf(entry.first.name, peer)
            if (pair in up || (retryMs[pair] ?: 0) > nowMs || isCut(entry.first, other.first)) continue
            up[pair] = Any()
            entry.second.linkUp(other.first)
            other.second.linkUp(entry.first)
        }
    }

    private fun breakCutLinks() {
        for (pair in up.keys.toList()) {
            val (a, b) = pair.mapNotNull { processes[it]?.first }
            if (isCut(a, b)) breakLink(pair)
        }
    }

    private fun breakLink(pair: Set<String>) {
        up.remove(pair) ?: return
        retryMs[pair] = nowMs + random.nextLong(50, 1_000)
        val ends = pair.mapNotNull { processes[it] }
        ends.forEach { (host, process) -> ends.filter { it.first != host }.forEach { process.linkDown(it.first) } }
    }

    private companion object {
        const val TICK_MS = 100L
    }
}
