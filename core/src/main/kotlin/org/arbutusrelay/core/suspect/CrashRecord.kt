package org.arbutusrelay.core.suspect

/** A crash of one incarnation of a backend server. */
public data class CrashId(val backendServer: String, val incarnation: Long) {
    internal companion object {
        val ORDER: Comparator<CrashId> = compareBy({ it.backendServer }, { it.incarnation })
    }
}

/** A crash in which a run with a key was in flight; times are monotonic, in milliseconds. */
internal class KeyCrash(val id: CrashId, var crashMs: Long, var runMs: Long, var isCleared: Boolean) {
    /** Crash of the attempt before, of the same request; known to be earlier whatever the times say. */
    var after: CrashId? = null

    /** Latest time at which a run with the key was sent that ended with the crash. */
    val sentMs: Long get() = crashMs - runMs
}

/** Crashes of a key that happened one after the other. */
internal class CrashChain(val length: Int, val firstCrashMs: Long) {
    companion object {
        /**
         * Time that must pass between a crash and the start of the next run of a chain.
         *
         * Hosts compute the time of a crash from its age in a message, so times of different hosts differ by the time
         * that the message took: up to about 200 ms over two links between regions.
         */
        const val ORDER_MARGIN_MS = 200L

        /**
         * Returns the longest chain in [crashes] in which each run was sent after the crash before it.
         *
         * Many connections that break at once, as when a region is lost, are a chain of one. With [isLinked], the
         * attempts of one request follow each other whatever their times say.
         */
        fun of(crashes: Collection<KeyCrash>, isLinked: Boolean): CrashChain {
            var length = 0
            var firstMs = 0L
            var lastMs = 0L
            var lastId: CrashId? = null
            // Among intervals, taking the one that ends first gives the most that do not overlap.
            for (crash in crashes.sortedBy { it.crashMs }) {
                val isLater = crash.sentMs >= lastMs + ORDER_MARGIN_MS || (isLinked && crash.after == lastId)
                if (length > 0 && !isLater) continue
                if (length == 0) firstMs = crash.crashMs
                lastMs = crash.crashMs
                lastId = crash.id
                length++
            }
            return CrashChain(length, firstMs)
        }
    }
}

/** What is known about one key. */
internal class CrashRecord(val key: String) {
    val crashes = LinkedHashMap<CrashId, KeyCrash>()

    /** Largest position of the key in a prompt; a part that comes later is shared by fewer requests. */
    var position = 0L

    /** Time of a recent proven run, or null. */
    var provenMs: Long? = null

    /**
     * True for a whole request, whose attempts may be all of its crashes; in simulated storms, a sound part reached a
     * chain of four by two attempts of a request with poison and two of another request.
     */
    private val isLinked = CrashKeys.isRequest(key)

    val isHoldable: Boolean get() = crashes.size >= SuspectFinder.MIN_CHAIN

    val openCrashes: List<KeyCrash> get() = crashes.values.filter { !it.isCleared }

    val newestMs: Long get() = maxOf(
        crashes.values.maxOfOrNull { it.crashMs } ?: Long.MIN_VALUE,
        provenMs ?: Long.MIN_VALUE,
    )

    /** Returns the longest chain in [counted], crashes of this key. */
    fun chainOf(counted: Collection<KeyCrash>): CrashChain = CrashChain.of(counted, isLinked)

    /** Merges a crash and returns true if it tells something new; only the newest [maxCrashes] are kept. */
    fun merge(crash: KeyCrash, maxCrashes: Int): Boolean {
        val known = crashes[crash.id]
        if (known == null) {
            crashes[crash.id] = crash
            if (crashes.size > maxCrashes) crashes.remove(crashes.values.minBy { it.crashMs }.id)
            return crash.id in crashes
        }
        val after = listOfNotNull(known.after, crash.after).maxWithOrNull(CrashId.ORDER)
        val isNew = crash.runMs < known.runMs || (crash.isCleared && !known.isCleared) || after != known.after
        known.after = after
        // The earliest time is kept, so that a crash does not become younger with each host that passes it on.
        known.crashMs = minOf(known.crashMs, crash.crashMs)
        known.runMs = minOf(known.runMs, crash.runMs)
        known.isCleared = known.isCleared || crash.isCleared
        return isNew
    }

    /** Records a proven run and returns true if it tells something new. */
    fun mergeProven(atMs: Long): Boolean {
        val known = provenMs
        // Without the tolerance, each host that passes the time on would add the time that its message took.
        if (known != null && atMs <= known + PROVEN_TOLERANCE_MS) return false
        provenMs = atMs
        return true
    }

    private companion object {
        const val PROVEN_TOLERANCE_MS = 5_000L
    }
}
