package org.arbutusrelay.daemon.node

import org.arbutusrelay.core.suspect.SuspectTable
import org.arbutusrelay.core.suspect.SuspectVerdict
import org.arbutusrelay.daemon.membership.MembershipListener
import org.arbutusrelay.daemon.request.SuspectDecision
import org.arbutusrelay.daemon.request.SuspectTracker
import org.arbutusrelay.schema.message.SuspectState
import java.util.concurrent.ConcurrentHashMap

/**
 * Tracks crash suspects and shares them with the other hosts of the region.
 *
 * A crash is identified by the backend server and its incarnation, so it is counted once even if several hosts report
 * it. [report] sends a suspect to the other hosts.
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
        removeRun(digest, backendServer)
        table.recordCompletion(digest, nowMs)?.let(report)
    }

    override fun recordInconclusive(digest: String, backendServer: String, nowMs: Long) {
        removeRun(digest, backendServer)
    }

    override fun recordCrash(digest: String, backendServer: String, nowMs: Long) {
        val concurrentRuns = running[backendServer].orEmpty()
        val run = concurrentRuns.firstOrNull { it.digest == digest } ?: return
        val digests = concurrentRuns.filter { it.incarnation == run.incarnation }.map { it.digest }
        removeRun(digest, backendServer)
        table.recordCrash(backendServer, run.incarnation, digests, nowMs).forEach(report)
    }

    override fun onSuspect(suspect: SuspectState): Unit = table.merge(suspect, nowMs())

    private fun removeRun(digest: String, backendServer: String) {
        running.computeIfPresent(backendServer) { _, runs ->
            val removedIndex = runs.indexOfFirst { it.digest == digest }
            runs.filterIndexed { index, _ -> index != removedIndex }.ifEmpty { null }
        }
    }

    private data class Run(val digest: String, val incarnation: Long)
}
