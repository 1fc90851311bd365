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

/** Returns one message per crash instead of one per key and crash, which would repeat the name of the backend server. */
internal fun groupRuns(crashes: List<Pair<CrashRecord, KeyCrash>>, nowMs: Long): List<CrashedRun> =
    crashes.groupBy { (_, it) -> listOf(it.id, it.crashMs, it.runMs, it.isCleared) }.values.map { group ->
        val crash = group.first().second
        CrashedRun(
            crash.id.backendServer,
            crash.id.incarnation,
            (nowMs - crash.crashMs).coerceAtLeast(0),
            crash.runMs,
            group.map { (record, _) -> record.key },
            group.map { (record, _) -> record.position },
            crash.isCleared,
        )
    }
