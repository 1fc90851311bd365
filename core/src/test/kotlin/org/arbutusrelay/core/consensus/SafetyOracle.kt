package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.LogEntry

/** Knows what was committed anywhere, and fails when a replica contradicts it. */
class SafetyOracle {
    private val leaders = HashMap<Long, String>()
    private val committed = ArrayList<LogEntry>()
    private val hashes = arrayListOf(1L)
    var leaderChanges = 0
        private set
    val committedCount: Int get() = committed.size

    fun onLeader(node: ConsensusNode) {
        val known = leaders.put(node.term, node.config.self)
        if (known == null) leaderChanges++
        check(known == null || known == node.config.self) {
            "term ${node.term} has leaders $known and ${node.config.self}"
        }
        for (entry in committed.drop(node.snapshotIndex.toInt())) {
            check(node.termAt(entry.index) == entry.term) {
                "leader ${node.config.self} lacks committed ${entry.index}"
            }
        }
    }

    /** Returns the digest of the state after [entry] was applied to a state with digest [hash]. */
    fun onApply(replica: String, hash: Long, entry: LogEntry): Long {
        check(entry.index <= committed.size + 1) { "$replica applies ${entry.index} after ${committed.size}" }
        if (entry.index == committed.size + 1L) {
            committed += entry
            hashes += hashes.last() * 31 + entry.hashCode()
        }
        val expected = committed[entry.index.toInt() - 1]
        check(entry == expected) { "$replica applies $entry where $expected was committed" }
        val result = hash * 31 + entry.hashCode()
        check(result == hashes[entry.index.toInt()]) { "$replica has another state at ${entry.index}" }
        return result
    }

    fun onRestore(replica: String, index: Long, hash: Long) {
        check(hashes.getOrNull(index.toInt()) == hash) { "$replica restores another state at $index" }
    }

    fun checkLogs(nodes: List<ConsensusNode>) {
        for (a in nodes) for (b in nodes) if (a !== b) checkMatch(a, b)
    }

    private fun checkMatch(a: ConsensusNode, b: ConsensusNode) {
        var isMatching = false
        for (index in minOf(a.lastIndex, b.lastIndex) downTo 1) {
            val termA = a.termAt(index) ?: return
            val termB = b.termAt(index) ?: return
            check(!isMatching || termA == termB) { "${a.config.self} and ${b.config.self} differ at $index" }
            isMatching = isMatching || termA == termB
        }
    }
}
