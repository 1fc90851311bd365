package org.arbutusrelay.core.membership

import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.LoadColumns

/**
 * Encodes the loads of backend servers that the receiver already knows as columns.
 *
 * A slot is a hash of name and incarnation, so that neither side has to assign identifiers. Slots are sorted and
 * delta-encoded, which takes 3 bytes per slot at the design size. Servers with colliding slots are sent as full states.
 */
internal object LoadSlots {
    private const val SLOT_COUNT = 1L shl 22

    fun slotOf(state: BackendServerState): Long = Rendezvous.bucket(state.name, state.incarnation, SLOT_COUNT)

    /** Returns the columns for [states], or null when [states] is empty. */
    fun encode(states: List<BackendServerState>): LoadColumns? {
        if (states.isEmpty()) return null
        val sorted = states.map { slotOf(it) to it }.sortedBy { it.first }
        val differences = sorted.mapIndexed { i, (slot, _) -> if (i == 0) slot else slot - sorted[i - 1].first }
        return LoadColumns(differences, sorted.map { it.second.running }, sorted.map { it.second.queued })
    }

    /** Calls [action] with slot, running and queued of each row; rows without a value in every column are skipped. */
    fun decode(columns: LoadColumns, action: (slot: Long, running: Long, queued: Long) -> Unit) {
        var slot = 0L
        for (i in 0 until minOf(columns.slots.size, columns.running.size, columns.queued.size)) {
            slot += columns.slots[i]
            action(slot, columns.running[i], columns.queued[i])
        }
    }
}
