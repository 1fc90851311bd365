package org.arbutusrelay.core.manifest

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import org.arbutusrelay.core.consensus.StateMachine
import org.arbutusrelay.schema.message.ManifestRecord
import org.arbutusrelay.schema.message.ReplicatedCommand
import kotlin.concurrent.Volatile

/** What the manifest group decided on one command. */
public data class ManifestDecision(
    val kind: Kind,
    /** The manifest that is accepted after the decision, or null before the first. */
    val accepted: ManifestRecord?,
    /** Why the content was refused; empty unless [kind] is [Kind.INVALID]. */
    val errors: List<ManifestError> = emptyList(),
) {
    /** The possible decisions. */
    public enum class Kind {
        ACCEPTED,
        DIGEST_CONFLICT,
        STALE_NUMBER,

        /** The text has errors, or a home region changes without its move. */
        INVALID,

        /** The command carries no manifest. */
        NONE,
    }
}

/**
 * State machine of the group `manifest`: the latest accepted manifest and the rules of section 6 of the design.
 *
 * All voters must use a [parser] that reads the same text alike, because its result decides on acceptance.
 */
@OptIn(ExperimentalSerializationApi::class)
public class ManifestLog(private val parser: ManifestParser) : StateMachine<ManifestDecision> {
    private class State(val record: ManifestRecord?, val timeMs: Long, val homes: HomeHistory)

    @Volatile
    private var state = State(null, 0, HomeHistory(emptyList()))

    /** The latest accepted manifest, or null; may be read from any thread. */
    public val accepted: ManifestRecord? get() = state.record

    /** Group time of the latest accepted manifest, in milliseconds; it never decreases. */
    public val timeMs: Long get() = state.timeMs

    override fun apply(index: Long, command: ReplicatedCommand): ManifestDecision {
        val record = command.manifest ?: return ManifestDecision(ManifestDecision.Kind.NONE, accepted)
        val old = accepted
        val kind = compare(record)
        val errors = if (kind == ManifestDecision.Kind.ACCEPTED &&
            record.number != old?.number
        ) {
            take(record)
        } else {
            emptyList()
        }
        return ManifestDecision(if (errors.isEmpty()) kind else ManifestDecision.Kind.INVALID, accepted, errors)
    }

    override fun snapshot(): ByteArray =
        Cbor.encodeToByteArray(Snapshot.serializer(), state.let { Snapshot(it.record, it.timeMs, it.homes.homes) })

    override fun restore(snapshot: ByteArray) {
        val stored = Cbor.decodeFromByteArray(Snapshot.serializer(), snapshot)
        state = State(stored.manifest, stored.timeMs, HomeHistory(stored.homes))
    }

    private fun compare(record: ManifestRecord): ManifestDecision.Kind {
        val old = accepted
        return when {
            record.digest != ManifestText.digest(record.text) -> ManifestDecision.Kind.DIGEST_CONFLICT
            old == null || record.number > old.number -> ManifestDecision.Kind.ACCEPTED
            record.number < old.number -> ManifestDecision.Kind.STALE_NUMBER
            record.digest == old.digest -> ManifestDecision.Kind.ACCEPTED
            else -> ManifestDecision.Kind.DIGEST_CONFLICT
        }
    }

    /** Accepts a [record] of a higher number, or returns what its content lacks. */
    private fun take(record: ManifestRecord): List<ManifestError> {
        val manifest = parser.parse(record.text).fold({ return it }, { it })
        if (manifest.number != record.number) return listOf(ManifestError("number", "is not ${record.number}"))
        val old = state
        val atMs = maxOf(old.timeMs, record.groupTimeMs ?: 0)
        // The first manifest of a group that was founded anew may name moves that its operators still need.
        val errors = if (old.record == null) emptyList() else old.homes.errors(manifest, atMs)
        if (errors.isEmpty()) state = State(record, atMs, old.homes.after(manifest, atMs))
        return errors
    }

    @Serializable
    private class Snapshot(
        val manifest: ManifestRecord? = null,
        val timeMs: Long = 0,
        val homes: List<HomeHistory.KnownHome> = emptyList(),
    )
}
