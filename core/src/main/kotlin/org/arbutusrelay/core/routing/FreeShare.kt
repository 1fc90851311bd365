package org.arbutusrelay.core.routing

import java.util.concurrent.atomic.AtomicInteger

/**
 * Limits how many free slots of a nearly full server this host takes between two reports of its load.
 *
 * Answers 14 to 30 hosts that all see the same few free slots. While there are fewer free slots than hosts, a host
 * takes its part of them, drawn for each report, and those in which its own requests have ended since.
 */
internal class FreeShare(private val serverHash: Long) {
    private val sent = AtomicInteger()
    private val ended = AtomicInteger()

    @Volatile
    private var hosts = 0

    @Volatile
    private var hostHash = 0L

    @Volatile
    private var draw = 0.0

    /** Sets the number of hosts that share the server, 0 if there is no limit, and the hash of this host. */
    fun configure(hosts: Int, hostHash: Long) {
        this.hosts = hosts
        this.hostHash = hostHash
    }

    /** Starts a new count at the report with [version]. */
    fun reset(version: Long) {
        draw = BackendSlots.spreadOf(serverHash xor hostHash xor BackendSlots.mix(version))
        sent.set(0)
        ended.set(0)
    }

    fun recordSent() {
        sent.incrementAndGet()
    }

    fun recordEnded() {
        ended.incrementAndGet()
    }

    /** Takes back [recordEnded] for a request that was turned away and freed no slot. */
    fun recordRefused() {
        ended.decrementAndGet()
    }

    /** Returns true if this host may take one of [free] slots. */
    fun isOpen(free: Int): Boolean =
        hosts == 0 || free >= hosts || sent.get() < ended.get() + (free.toDouble() / hosts + draw).toInt()
}
