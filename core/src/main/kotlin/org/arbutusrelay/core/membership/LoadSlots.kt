package org.arbutusrelay.core.membership

import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.LoadColumns

/**
 * Packs the load of backend servers that the receiver already knows into columns.
 *
 * A slot is a hash of name and incarnation, so that no side has to assign numbers. Slots are sorted and sent as
 * differences, which take 3 bytes at the design size. Servers whose slots collide are left to full states.
 */
internal object LoadSlots {
    private const val SLOTS = 1L shl 22

    fun slotOf(state: BackendServerState): Long = Rendezvous.bucket(state.name, state.incarnation, SLOTS)

    /** Returns the columns for [states], or null when there is none. */
    fun encode(states: List<BackendServerState>): LoadColumns? {
        if (states.isEmpty()) return null
        val sorted = states.map { slotOf(it) to it }.sortedBy { it.first }
        val differences = sorted.mapIndexed { i, (slot, _) -> if (i == 0) slot else slot - sorted[i - 1].first }
        return LoadColumns(differences, sorted.map { it.second.running }, sorted.map { it.second.queued })
    }

    /** Calls [action] with slot, running and queued of each position; positions that lack a value are skipped. */
    fun decode(columns: LoadColumns, action: (slot: Long, running: Long, queued: Long) -> Unit) {
        var slot = 0L
        for (i in 0 until minOf(columns.slots.size, columns.running.size, columns.queued.size)) {
            slot += columns.slots[i]
            action(slot, columns.running[i], columns.queued[i])
        }
    }
}
