package org.arbutusrelay.core.manifest

import kotlinx.serialization.ExperimentalSerializationApi
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
) {
    /** The possible decisions. */
    public enum class Kind {
        ACCEPTED,
        DIGEST_CONFLICT,
        STALE_NUMBER,

        /** The command carries no manifest. */
        NONE,
    }
}

/** State machine of the group `manifest`: the latest accepted manifest and the rules of section 6 of the design. */
@OptIn(ExperimentalSerializationApi::class)
public class ManifestLog : StateMachine<ManifestDecision> {
    @Volatile
    private var latest: ManifestRecord? = null

    /** The latest accepted manifest, or null; may be read from any thread. */
    public val accepted: ManifestRecord? get() = latest

    override fun apply(index: Long, command: ReplicatedCommand): ManifestDecision {
        val record = command.manifest ?: return ManifestDecision(ManifestDecision.Kind.NONE, latest)
        val kind = decide(record)
        if (kind == ManifestDecision.Kind.ACCEPTED) latest = record
        return ManifestDecision(kind, latest)
    }

    override fun snapshot(): ByteArray =
        Cbor.encodeToByteArray(ReplicatedCommand.serializer(), ReplicatedCommand(manifest = latest))

    override fun restore(snapshot: ByteArray) {
        latest = Cbor.decodeFromByteArray(ReplicatedCommand.serializer(), snapshot).manifest
    }

    private fun decide(record: ManifestRecord): ManifestDecision.Kind {
        val old = latest
        return when {
            record.digest != ManifestText.digest(record.text) -> ManifestDecision.Kind.DIGEST_CONFLICT
            old == null || record.number > old.number -> ManifestDecision.Kind.ACCEPTED
            record.number < old.number -> ManifestDecision.Kind.STALE_NUMBER
            record.digest == old.digest -> ManifestDecision.Kind.ACCEPTED
            else -> ManifestDecision.Kind.DIGEST_CONFLICT
        }
    }
}
