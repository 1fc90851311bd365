package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.ConsensusMessage

/** What a randomised run must have met at least once for its result to mean anything. */
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

/** A deliberate defect around a replica, to show that the checks find it. The default has none. */
open class Defect {
    open fun write(persist: ConsensusEffect.Persist): ConsensusEffect.Persist = persist

    open fun send(message: ConsensusMessage): ConsensusMessage = message

    /** True to report writes as synced before they are. */
    open val isSyncSkipped: Boolean get() = false

    /** True to start a replica that lost its disk under its old identity. */
    open val isIdentityReused: Boolean get() = false
}
