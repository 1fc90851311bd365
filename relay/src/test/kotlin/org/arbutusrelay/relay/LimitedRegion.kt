package org.arbutusrelay.relay

import org.arbutusrelay.core.routing.TurnShare
import org.arbutusrelay.core.site.BackendServerRegistry

/** Spreads what backend servers say of their limits between [hosts], as the hosts of a site do, without a delay. */
internal class LimitedRegion(private val hosts: List<RelayFixture>) {
    private val registries = hosts.map { host ->
        BackendServerRegistry(LEASE_MS).apply { host.serverStates().forEach { announce(it, host.nowMs()) } }
    }

    init {
        hosts.forEachIndexed { index, host ->
            host.onLimit = { attempt, limitPermille ->
                val isChanged = synchronized(this) {
                    registries[index].recordLimit(
                        attempt.backendServer,
                        attempt.incarnation,
                        limitPermille,
                        attempt.placedAtMs,
                        host.nowMs(),
                    )
                }
                if (isChanged) spread(index)
            }
        }
    }

    private fun spread(from: Int) = synchronized(this) {
        val news = registries[from].recentLimits(LEASE_MS, hosts[from].nowMs())
        hosts.forEachIndexed { index, host ->
            val nowMs = host.nowMs()
            if (index != from) news.forEach { registries[index].merge(it, nowMs) }
            host.applyStates(
                registries[index].states(nowMs),
                TurnShare(
                    "$index",
                    hosts.indices.map {
                        "$it"
                    }.toSet(),
                ),
                nowMs,
            )
        }
    }

    private companion object {
        const val LEASE_MS = 60_000L
    }
}
