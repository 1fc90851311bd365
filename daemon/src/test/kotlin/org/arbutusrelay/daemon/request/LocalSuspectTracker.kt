package org.arbutusrelay.daemon.request

/**
 * Tracks crash suspects in memory, for a single host.
 *
 * Stores at most [maxSuspects] digests and evicts the oldest first; each entry expires after [expiryMs].
 */
public class LocalSuspectTracker(private val maxSuspects: Int = 10_000, private val expiryMs: Long = 600_000) :
    SuspectTracker {
    private class Suspect(val crashes: Int, val updatedAtMs: Long)

    private class Run(val digest: String) {
        // Set once a crash of the backend server was counted for this run.
        var isCrashCounted = false
    }

    private val suspects = LinkedHashMap<String, Suspect>()
    private val running = HashMap<String, MutableList<Run>>()

    @Synchronized
    override fun decide(digest: String, nowMs: Long): SuspectDecision =
        when (crashes(digest, nowMs)) {
            0 -> SuspectDecision.RUN
            1 -> SuspectDecision.RUN_ISOLATED
            else -> SuspectDecision.REFUSE
        }

    @Synchronized
    override fun recordStart(digest: String, backendServer: String, incarnation: Long, nowMs: Long) {
        running.getOrPut(backendServer, ::ArrayList).add(Run(digest))
    }

    @Synchronized
    override fun recordResponse(digest: String, backendServer: String, nowMs: Long) {
        remove(digest, backendServer)
        suspects.remove(digest)
    }

    @Synchronized
    override fun recordInconclusive(digest: String, backendServer: String, nowMs: Long) {
        remove(digest, backendServer)
    }

    @Synchronized
    override fun recordCrash(digest: String, backendServer: String, nowMs: Long) {
        val run = remove(digest, backendServer) ?: return
        if (run.isCrashCounted) return
        storeSuspect(digest, nowMs, crashes(digest, nowMs) + 1)
        for (other in running[backendServer].orEmpty().filterNot(Run::isCrashCounted)) {
            other.isCrashCounted = true
            if (crashes(other.digest, nowMs) == 0) storeSuspect(other.digest, nowMs, 1)
        }
    }

    private fun crashes(digest: String, nowMs: Long): Int =
        suspects[digest]?.takeIf { nowMs - it.updatedAtMs < expiryMs }?.crashes ?: 0

    private fun remove(digest: String, backendServer: String): Run? {
        val runs = running[backendServer] ?: return null
        val run = runs.firstOrNull { it.digest == digest } ?: return null
        runs.remove(run)
        if (runs.isEmpty()) running.remove(backendServer)
        return run
    }

    private fun storeSuspect(digest: String, nowMs: Long, crashes: Int) {
        suspects.remove(digest)
        suspects[digest] = Suspect(crashes, nowMs)
        if (suspects.size > maxSuspects) suspects.remove(suspects.keys.first())
    }
}
