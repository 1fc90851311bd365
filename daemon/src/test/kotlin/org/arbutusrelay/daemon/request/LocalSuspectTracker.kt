package org.arbutusrelay.daemon.request

/**
 * Tracks crash suspects of this host only.
 *
 * Holds at most [maxSuspects] digests; the oldest ones are dropped first, and each expires after [lifetimeMs].
 */
public class LocalSuspectTracker(private val maxSuspects: Int = 10_000, private val lifetimeMs: Long = 600_000) :
    SuspectTracker {
    private class Suspect(val crashes: Int, val changedMs: Long)

    private class Run(val digest: String) {
        // True once a crash of the backend server was counted for this run.
        var isBlamed = false
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
        val own = remove(digest, backendServer) ?: return
        if (own.isBlamed) return
        raise(digest, nowMs, crashes(digest, nowMs) + 1)
        for (other in running[backendServer].orEmpty().filterNot(Run::isBlamed)) {
            other.isBlamed = true
            if (crashes(other.digest, nowMs) == 0) raise(other.digest, nowMs, 1)
        }
    }

    private fun crashes(digest: String, nowMs: Long): Int =
        suspects[digest]?.takeIf { nowMs - it.changedMs < lifetimeMs }?.crashes ?: 0

    private fun remove(digest: String, backendServer: String): Run? {
        val runs = running[backendServer] ?: return null
        val run = runs.firstOrNull { it.digest == digest } ?: return null
        runs.remove(run)
        if (runs.isEmpty()) running.remove(backendServer)
        return run
    }

    private fun raise(digest: String, nowMs: Long, crashes: Int) {
        suspects.remove(digest)
        suspects[digest] = Suspect(crashes, nowMs)
        if (suspects.size > maxSuspects) suspects.remove(suspects.keys.first())
    }
}
