package org.arbutusrelay.core.membership

import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.RegionSummary
import org.arbutusrelay.schema.message.ServiceSummary

/** Predicts the latency of a new request with a cold cache, in milliseconds, from a service's load and capacity. */
public typealias ColdPrediction = (service: String, running: Long, queued: Long, capacity: Long) -> Long

/**
 * The summaries of other regions, with a record of those sent to each neighbour.
 *
 * A summary with an empty host list keeps the hosts of the previous one. Hosts are sent to a neighbour only when they
 * changed, because their states make up most of the size.
 */
internal class RegionSummaries {
    private val newest = HashMap<String, Pair<RegionSummary, Long>>()
    private val distances = HashMap<String, Distance>()
    private val sentByNeighbour = HashMap<String, HashMap<String, SentVersion>>()

    /** The newest summary of each region, with its arrival time. */
    val all: Map<String, Pair<RegionSummary, Long>> get() = newest

    /**
     * Stores [summary], received from a sender at [distance].
     *
     * Returns false when the stored summary is at least as new, unless it has not been updated for 3 s.
     */
    fun store(summary: RegionSummary, distance: Distance, nowMs: Long): Boolean {
        val old = newest[summary.region]
        if (old != null && summary.sequence <= old.first.sequence && nowMs - old.second < STALE_AFTER_MS) return false
        val hosts = summary.hosts.ifEmpty { old?.first?.hosts.orEmpty() }
        newest[summary.region] = summary.copy(hosts = hosts) to nowMs
        distances[summary.region] = distance
        return true
    }

    /**
     * Returns the summaries from at most [distance] that were not sent to [neighbour] yet, and records them as sent.
     *
     * Without this limit each host would send the summaries received from one aggregator to the other aggregator.
     */
    fun next(neighbour: String, distance: Distance): List<RegionSummary> =
        newest.values.filter { (summary, _) -> distances.getValue(summary.region) <= distance }
            .mapNotNull { (summary, _) -> next(neighbour, summary) }

    /** Returns [summary], without its hosts if [neighbour] has them, or null if it was sent already. */
    fun next(neighbour: String, summary: RegionSummary): RegionSummary? {
        val sent = sentByNeighbour.getOrPut(neighbour) { HashMap() }
        val old = sent[summary.region]
        if (old?.sequence == summary.sequence) return null
        val identities = summary.hosts.map { Triple(it.hostName, it.epoch, it.isLeaving) }
        sent[summary.region] = SentVersion(summary.sequence, identities)
        return if (old?.hosts == identities) summary.copy(hosts = emptyList()) else summary
    }

    fun reset(neighbour: String) {
        sentByNeighbour.remove(neighbour)
    }

    /** Distance of the host that a summary was received from; the order of the constants matters. */
    enum class Distance { OTHER_REGION, OWN_ZONE, OTHER_ZONE }

    private class SentVersion(val sequence: Long, val hosts: List<Triple<String, Long, Boolean>>)

    companion object {
        private const val STALE_AFTER_MS = 3_000L
        private const val MAX_HOSTS = 8

        /** Builds the summary of the local region. */
        fun build(
            region: String,
            sequence: Long,
            hosts: Collection<HostState>,
            servers: List<BackendServerState>,
            predict: ColdPrediction,
        ): RegionSummary {
            val ready = hosts.filterNot { it.isLeaving || it.isSuspected }.associateBy { it.hostName }
            val selected = Rendezvous.rank(region, ready.keys).take(MAX_HOSTS).mapNotNull(ready::get)
            val services = servers.groupBy { it.service }.map { (service, group) -> summarize(service, group, predict) }
            return RegionSummary(region, sequence, selected, services, hosts.maxOfOrNull { it.manifestNumber } ?: 0)
        }

        private fun summarize(
            service: String,
            group: List<BackendServerState>,
            predict: ColdPrediction,
        ): ServiceSummary {
            val capacity = group.sumOf { it.capacity }
            val running = group.sumOf { it.running }
            val queued = group.sumOf { it.queued }
            val predictedMs = predict(service, running, queued, capacity)
            return ServiceSummary(service, group.size.toLong(), capacity, running, queued, predictedMs)
        }
    }
}
