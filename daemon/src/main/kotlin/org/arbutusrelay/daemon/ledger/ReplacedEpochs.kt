package org.arbutusrelay.daemon.ledger

/** The process epochs that ended lately, bounded; every replica keeps them, so that a new leader knows them too. */
internal class ReplacedEpochs(private val maxCount: Int = 2_048) {
    private val epochs = LinkedHashSet<EndedEpoch>()

    @Synchronized
    fun add(hostName: String, epoch: Long) {
        epochs.add(EndedEpoch(hostName, epoch))
        if (epochs.size > maxCount) epochs.remove(epochs.first())
    }

    @Synchronized
    fun all(): List<EndedEpoch> = epochs.toList()

    data class EndedEpoch(val hostName: String, val epoch: Long)
}
