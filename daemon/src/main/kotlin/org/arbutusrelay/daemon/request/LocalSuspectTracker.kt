package org.arbutusrelay.daemon.request

/**
 * Tracks crash suspects of this host only.
 *
 * Holds at most [maxSuspects] digests; the oldest ones are dropped first, and each expires after [lifetimeMs].
 */
public class LocalSuspectTracker(private val maxSuspects: Int = 10_000, private val lifetimeMs: Long = 600_000) :
    SuspectTracker {
    private class Suspect(val crashes: Int, val changedMs: Long)

    private val suspects = LinkedHashMap<String, Suspect>()
    private val running = HashMap<String, MutableList<String>>()

    @Synchronized
    override fun decide(digest: String, nowMs: Long): SuspectDecision {
        val suspect = suspects[digest]?.takeIf { nowMs - it.changedMs < lifetimeMs }
        return when (suspect?.crashes ?: 0) {
            0 -> SuspectDecision.RUN
            1 -> SuspectDecision.RUN_ISOLATED
            else -> SuspectDecision.REFUSE
        }
    }

    @Synchronized
    override fun started(digest: String, backendServer: String, nowMs: Long) {
        running.getOrPut(backendServer, ::ArrayList).add(digest)
    }

    @Synchronized
    override fun finished(digest: String, backendServer: String, nowMs: Long) {
        remove(digest, backendServer)
        suspects.remove(digest)
    }

    @Synchronized
    override fun crashed(digest: String, backendServer: String, nowMs: Long) {
        val others = running[backendServer].orEmpty().filter { it != digest }
        remove(digest, backendServer)
        raise(digest, nowMs, (suspects[digest]?.crashes ?: 0) + 1)
        others.filter { it !in suspects }.forEach { raise(it, nowMs, 1) }
    }

    private fun remove(digest: String, backendServer: String) {
        val digests = running[backendServer] ?: return
        digests.remove(digest)
        if (digests.isEmpty()) running.remove(backendServer)
    }

    private fun raise(digest: String, nowMs: Long, crashes: Int) {
        suspects.remove(digest)
        suspects[digest] = Suspect(crashes, nowMs)
        if (suspects.size > maxSuspects) suspects.remove(suspects.keys.first())
    }
}
