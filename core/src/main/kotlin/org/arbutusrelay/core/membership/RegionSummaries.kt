package org.arbutusrelay.core.membership

import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.RegionSummary
import org.arbutusrelay.schema.message.ServiceSummary

/** Predicts the time of a new request with a cold cache, in milliseconds, from load and capacity of a service. */
public typealias ColdPrediction = (service: String, running: Long, queued: Long, capacity: Long) -> Long

/**
 * The summaries of other regions, and which of them each neighbour has.
 *
 * A summary with an empty host list leaves the hosts of the one before in force. Hosts are sent to a neighbour only
 * when they changed, because their states make up most of the bytes.
 */
internal class RegionSummaries {
    private val newest = HashMap<String, Pair<RegionSummary, Long>>()
    private val distances = HashMap<String, Distance>()
    private val told = HashMap<String, HashMap<String, Told>>()

    /** The newest summary of each region, with the time of its arrival. */
    val all: Map<String, Pair<RegionSummary, Long>> get() = newest

    /**
     * Takes [summary] that came from [distance].
     *
     * Returns false when the known one is as new, unless that has not been renewed for 3 s.
     */
    fun learn(summary: RegionSummary, distance: Distance, nowMs: Long): Boolean {
        val old = newest[summary.region]
        if (old != null && summary.sequence <= old.first.sequence && nowMs - old.second < RESTART_MS) return false
        val hosts = summary.hosts.ifEmpty { old?.first?.hosts.orEmpty() }
        newest[summary.region] = summary.copy(hosts = hosts) to nowMs
        distances[summary.region] = distance
        return true
    }

    /**
     * Returns what [neighbour] lacks of the summaries that came from at most [distance], and notes that it is sent.
     *
     * Without this bound each host would send the summaries that one aggregator gave it to the other aggregator.
     */
    fun next(neighbour: String, distance: Distance): List<RegionSummary> =
        newest.values.filter { (summary, _) -> distances.getValue(summary.region) <= distance }
            .mapNotNull { (summary, _) -> next(neighbour, summary) }

    /** Returns [summary] as [neighbour] needs it, or null when it has it. */
    fun next(neighbour: String, summary: RegionSummary): RegionSummary? {
        val before = told.getOrPut(neighbour) { HashMap() }
        val old = before[summary.region]
        if (old?.sequence == summary.sequence) return null
        val identities = summary.hosts.map { Triple(it.hostName, it.epoch, it.isLeaving) }
        before[summary.region] = Told(summary.sequence, identities)
        return if (old?.hosts == identities) summary.copy(hosts = emptyList()) else summary
    }

    fun reset(neighbour: String) {
        told.remove(neighbour)
    }

    /** Where a summary came from. */
    enum class Distance { OTHER_REGION, OWN_ZONE, OTHER_ZONE }

    private class Told(val sequence: Long, val hosts: List<Triple<String, Long, Boolean>>)

    companion object {
        private const val RESTART_MS = 3_000L
        private const val MAX_HOSTS = 8

        /** Builds the summary of the own region. */
        fun build(
            region: String,
            sequence: Long,
            hosts: Collection<HostState>,
            servers: List<BackendServerState>,
            predict: ColdPrediction,
        ): RegionSummary {
            val ready = hosts.filterNot { it.isLeaving || it.isSuspected }.associateBy { it.hostName }
            val chosen = Rendezvous.rank(region, ready.keys).take(MAX_HOSTS).mapNotNull(ready::get)
            val services = servers.groupBy { it.service }.map { (service, group) -> summarize(service, group, predict) }
            return RegionSummary(region, sequence, chosen, services, hosts.maxOfOrNull { it.manifestNumber } ?: 0)
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
