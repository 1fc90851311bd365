package org.arbutusrelay.core.manifest

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import org.arbutusrelay.core.consensus.StateMachine
import org.arbutusrelay.schema.message.ManifestRecord
import org.arbutusrelay.schema.message.ReplicatedCommand
import kotlin.concurrent.Volatile

/** The decision of the manifest group on one command. */
public data class ManifestDecision(
    val kind: Kind,
    /** The latest accepted manifest after the decision, or null before the first. */
    val accepted: ManifestRecord?,
    /** The errors of the manifest; empty unless [kind] is [Kind.INVALID]. */
    val errors: List<ManifestError> = emptyList(),
) {
    /** The possible decisions. */
    public enum class Kind {
        ACCEPTED,
        DIGEST_CONFLICT,
        STALE_NUMBER,

        /** The text has errors, or a home region changes without a corresponding move. */
        INVALID,

        /** The command contains no manifest. */
        NONE,
    }
}

/**
 * State machine of the consensus group `manifest`: the latest accepted manifest and the rules of section 6 of the
 * design.
 *
 * The [parser] must be deterministic and the same on all voters, because acceptance depends on its result.
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
        val kind = classify(record)
        val errors = if (kind == ManifestDecision.Kind.ACCEPTED &&
            record.number != old?.number
        ) {
            accept(record)
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

    private fun classify(record: ManifestRecord): ManifestDecision.Kind {
        val old = accepted
        return when {
            record.digest != ManifestText.digest(record.text) -> ManifestDecision.Kind.DIGEST_CONFLICT
            old == null || record.number > old.number -> ManifestDecision.Kind.ACCEPTED
            record.number < old.number -> ManifestDecision.Kind.STALE_NUMBER
            record.digest == old.digest -> ManifestDecision.Kind.ACCEPTED
            else -> ManifestDecision.Kind.DIGEST_CONFLICT
        }
    }

    /** Accepts a [record] with a higher number, or returns the errors of its content. */
    private fun accept(record: ManifestRecord): List<ManifestError> {
        val manifest = parser.parse(record.text).fold({ return it }, { it })
        if (manifest.number != record.number) return listOf(ManifestError("number", "is not ${record.number}"))
        val old = state
        val atMs = maxOf(old.timeMs, record.groupTimeMs ?: 0)
        // The first manifest of a newly created group may contain moves that its operators still need.
        val errors = if (old.record == null) emptyList() else old.homes.errors(manifest, atMs)
        if (errors.isEmpty()) state = State(record, atMs, old.homes.afterAccepting(manifest, atMs))
        return errors
    }

    @Serializable
    private class Snapshot(
        val manifest: ManifestRecord? = null,
        val timeMs: Long = 0,
        val homes: List<HomeHistory.KnownHome> = emptyList(),
    )
}
