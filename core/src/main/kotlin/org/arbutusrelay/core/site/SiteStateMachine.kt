package org.arbutusrelay.core.site

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.arbutusrelay.core.consensus.StateMachine
import org.arbutusrelay.schema.message.ReplicatedCommand
import org.arbutusrelay.schema.message.SiteState

/**
 * Replicated state of a site: the operator's document with the highest number, and the evacuated zones.
 *
 * A document is ignored unless its number is higher than the current one, so that a late or repeated command cannot
 * restore an older document. [onChange] is called after each command that changes more than the log index, and after
 * each restored snapshot.
 */
@OptIn(ExperimentalSerializationApi::class)
public class SiteStateMachine(private val onChange: (SiteState) -> Unit = {}) : StateMachine<SiteState> {
    /** State after the last applied command or restored snapshot. */
    @Volatile
    public var current: SiteState = EMPTY
        private set

    override fun apply(index: Long, command: ReplicatedCommand): SiteState {
        val previous = current
        val document = command.document?.takeIf { it.number > (previous.document?.number ?: -1) } ?: previous.document
        val evacuation = command.evacuation
        val zones = when {
            evacuation == null -> previous.evacuatedZones
            evacuation.isEvacuated -> (previous.evacuatedZones + evacuation.availabilityZone).distinct()
            else -> previous.evacuatedZones - evacuation.availabilityZone
        }
        val isChanged = document !== previous.document || zones != previous.evacuatedZones
        current = SiteState(index, document, zones)
        if (isChanged) onChange(current)
        return current
    }

    override fun snapshot(): ByteArray = format.encodeToByteArray(current)

    override fun restore(snapshot: ByteArray) {
        current = format.decodeFromByteArray<SiteState>(snapshot)
        onChange(current)
    }

    public companion object {
        /** State of a site that was never configured. */
        public val EMPTY: SiteState = SiteState(0, null, emptyList())

        private val format = Cbor { alwaysUseByteString = true }
    }
}
