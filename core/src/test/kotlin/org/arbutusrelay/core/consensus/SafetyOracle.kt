package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.LogEntry

/** Records all committed entries and leaders, and fails when a replica contradicts them. */
class SafetyOracle {
    private val leaders = HashMap<Long, String>()
    private val committed = ArrayList<LogEntry>()
    private val digests = arrayListOf(1L)
    var leaderChanges = 0
        private set
    val committedCount: Int get() = committed.size

    fun onLeader(node: ConsensusNode) {
        val existing = leaders.put(node.term, node.config.self)
        if (existing == null) leaderChanges++
        check(existing == null || existing == node.config.self) {
            "term ${node.term} has leaders $existing and ${node.config.self}"
        }
        for (entry in committed.drop(node.snapshotIndex.toInt())) {
            check(node.termAt(entry.index) == entry.term) {
                "leader ${node.config.self} lacks the committed entry ${entry.index}"
            }
        }
    }

    /** Checks an applied [entry] and returns the state digest after it; [digest] is the digest before it. */
    fun onApply(replica: String, digest: Long, entry: LogEntry): Long {
        check(entry.index <= committed.size + 1) {
            "$replica applies entry ${entry.index}, but the last committed entry is ${committed.size}"
        }
        if (entry.index == committed.size + 1L) {
            committed += entry
            digests += digests.last() * 31 + entry.hashCode()
        }
        val expected = committed[entry.index.toInt() - 1]
        check(entry == expected) { "$replica applies $entry, but $expected was committed" }
        val result = digest * 31 + entry.hashCode()
        check(result == digests[entry.index.toInt()]) { "the state of $replica has diverged at ${entry.index}" }
        return result
    }

    fun onRestore(replica: String, index: Long, digest: Long) {
        check(digests.getOrNull(index.toInt()) == digest) { "$replica restores a diverged state at $index" }
    }

    fun checkLogs(nodes: List<ConsensusNode>) {
        for (a in nodes) for (b in nodes) if (a !== b) checkMatch(a, b)
    }

    private fun checkMatch(a: ConsensusNode, b: ConsensusNode) {
        var isMatching = false
        for (index in minOf(a.lastIndex, b.lastIndex) downTo 1) {
            val termA = a.termAt(index) ?: return
            val termB = b.termAt(index) ?: return
            check(!isMatching || termA == termB) { "logs of ${a.config.self} and ${b.config.self} differ at $index" }
            isMatching = isMatching || termA == termB
        }
    }
}
