package org.arbutusrelay.core.suspect

import org.arbutusrelay.schema.message.CrashEvidence
import org.arbutusrelay.schema.message.CrashedRun

/** True if there is nothing to send. */
public val CrashEvidence.isEmpty: Boolean get() = crashes.isEmpty() && provenKeys.isEmpty()

/** Returns this evidence as it is to be sent [byMs] later. */
public fun CrashEvidence.aged(byMs: Long): CrashEvidence = if (byMs <= 0) {
    this
} else {
    CrashEvidence(
        crashes.map { it.copy(ageMs = it.ageMs + byMs) },
        provenKeys.map { it.copy(ageMs = it.ageMs + byMs) },
    )
}

/** Returns the evidence of both. */
public operator fun CrashEvidence.plus(other: CrashEvidence): CrashEvidence =
    CrashEvidence(crashes + other.crashes, provenKeys + other.provenKeys)

/**
 * Returns this evidence without the oldest entries beyond [maxPairs] pairs of a key and a crash.
 *
 * A message that exceeds the size of a frame would be lost as a whole, with everything else that it tells.
 */
public fun CrashEvidence.limitedTo(maxPairs: Int): CrashEvidence {
    if (crashes.sumOf { it.keys.size } + provenKeys.size <= maxPairs) return this
    var pairs = 0
    val newest = crashes.sortedBy { it.ageMs }.takeWhile { run ->
        pairs += run.keys.size
        pairs <= maxPairs
    }
    return CrashEvidence(newest, provenKeys.sortedBy { it.ageMs }.take(maxPairs))
}

/** Returns one message per crash; one per key and crash would repeat the name of the backend server. */
internal fun groupRuns(crashes: List<Pair<CrashRecord, KeyCrash>>, nowMs: Long): List<CrashedRun> =
    crashes.groupBy { (_, it) -> listOf(it.id, it.crashMs, it.runMs, it.isCleared, it.after) }.values.map { group ->
        val crash = group.first().second
        CrashedRun(
            crash.id.backendServer,
            crash.id.incarnation,
            (nowMs - crash.crashMs).coerceAtLeast(0),
            crash.runMs,
            group.map { (record, _) -> record.key },
            group.map { (record, _) -> record.position },
            crash.isCleared,
            crash.after?.backendServer.orEmpty(),
            crash.after?.incarnation ?: 0,
        )
    }
