package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.ConsensusMessage

/** Kinds of faults; a set of randomised runs is valid only if each kind occurs at least once. */
enum class Fault {
    LOSS,
    DELAY,
    REORDER,
    DUPLICATION,
    ONE_WAY_PARTITION,
    TWO_WAY_PARTITION,
    PARTIAL_PARTITION,
    CRASH,
    UNSYNCED_WRITES_LOST,
    DISK_LOST,
    TWO_CRASHES_TOGETHER,
    CRASH_AFTER_REPAIR,
    SLOW_SYNC,
    LEADER_CHANGE,
    LEADERSHIP_TRANSFER,
    SNAPSHOT_INSTALLED,
    VOTER_REMOVED,
    VOTER_ADDED,
}

/** Defect injected into the storage and messages of replicas to verify the checks; the default injects none. */
open class Defect {
    open fun write(persist: ConsensusEffect.Persist): ConsensusEffect.Persist = persist

    open fun send(message: ConsensusMessage): ConsensusMessage = message

    /** True to report writes as synced before the sync. */
    open val isSyncSkipped: Boolean get() = false

    /** True to restart a replica with its old identity after a disk loss. */
    open val isIdentityReused: Boolean get() = false
}
