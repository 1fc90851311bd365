package org.arbutusrelay.daemon.ledger

/** The last [maxCount] replaced process epochs. Every replica records them, so that a new leader has them too. */
internal class ReplacedEpochs(private val maxCount: Int = 2_048) {
    private val epochs = LinkedHashSet<ReplacedEpoch>()

    @Synchronized
    fun add(hostName: String, epoch: Long) {
        epochs.add(ReplacedEpoch(hostName, epoch))
        if (epochs.size > maxCount) epochs.remove(epochs.first())
    }

    @Synchronized
    fun all(): List<ReplacedEpoch> = epochs.toList()

    data class ReplacedEpoch(val hostName: String, val epoch: Long)
}
