package org.arbutusrelay.daemon.node

import org.arbutusrelay.core.suspect.SuspectTable
import org.arbutusrelay.core.suspect.SuspectVerdict
import org.arbutusrelay.daemon.membership.MembershipListener
import org.arbutusrelay.daemon.request.SuspectDecision
import org.arbutusrelay.daemon.request.SuspectTracker
import org.arbutusrelay.schema.message.SuspectState
import java.util.concurrent.ConcurrentHashMap

/**
 * Tracks crash suspects together with the other hosts of the region.
 *
 * A crash is told by the backend server and its incarnation, so that it counts once whoever reports it. [report] tells
 * the other hosts.
 */
internal class RegionSuspectTracker(
    private val report: (SuspectState) -> Unit,
    private val nowMs: () -> Long,
    private val table: SuspectTable = SuspectTable(),
) : SuspectTracker,
    MembershipListener {
    private val running = ConcurrentHashMap<String, List<Run>>()

    override fun decide(digest: String, nowMs: Long): SuspectDecision = when (table.verdict(digest, nowMs)) {
        SuspectVerdict.CLEAR -> SuspectDecision.RUN
        SuspectVerdict.ISOLATE -> SuspectDecision.RUN_ISOLATED
        SuspectVerdict.REFUSE -> SuspectDecision.REFUSE
    }

    override fun recordStart(digest: String, backendServer: String, incarnation: Long, nowMs: Long) {
        val run = Run(digest, incarnation)
        running.merge(backendServer, listOf(run)) { old, new -> old + new }
    }

    override fun recordResponse(digest: String, backendServer: String, nowMs: Long) {
        end(digest, backendServer)
        table.recordCompletion(digest, nowMs)?.let(report)
    }

    override fun recordInconclusive(digest: String, backendServer: String, nowMs: Long) {
        end(digest, backendServer)
    }

    override fun recordCrash(digest: String, backendServer: String, nowMs: Long) {
        val beside = running[backendServer].orEmpty()
        val run = beside.firstOrNull { it.digest == digest } ?: return
        val digests = beside.filter { it.incarnation == run.incarnation }.map { it.digest }
        end(digest, backendServer)
        table.recordCrash(backendServer, run.incarnation, digests, nowMs).forEach(report)
    }

    override fun onSuspect(suspect: SuspectState): Unit = table.merge(suspect, nowMs())

    private fun end(digest: String, backendServer: String) {
        running.computeIfPresent(backendServer) { _, runs ->
            val ended = runs.indexOfFirst { it.digest == digest }
            runs.filterIndexed { index, _ -> index != ended }.ifEmpty { null }
        }
    }

    private data class Run(val digest: String, val incarnation: Long)
}
