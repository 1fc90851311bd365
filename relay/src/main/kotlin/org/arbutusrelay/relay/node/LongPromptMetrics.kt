package org.arbutusrelay.relay.node

import org.arbutusrelay.core.routing.LongPromptServers
import org.arbutusrelay.daemon.observe.RelayMetrics

/** Shows how many backend servers are preferred for long prompts, and where prompts of either kind were placed. */
internal object LongPromptMetrics {
    fun register(metrics: RelayMetrics, servers: LongPromptServers) {
        metrics.gauge("arbutus.prompts.long.servers") { servers.size }
        for ((kind, isLong) in listOf("long" to true, "short" to false)) {
            metrics.gauge("arbutus.prompts.$kind.inside") { servers.placements(isLong, isInside = true) }
            metrics.gauge("arbutus.prompts.$kind.outside") { servers.placements(isLong, isInside = false) }
        }
    }
}
