package org.arbutusrelay.core.site

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.arbutusrelay.core.consensus.StateMachine
import org.arbutusrelay.schema.message.ReplicatedCommand
import org.arbutusrelay.schema.message.SiteState

/**
 * The replicated state of a site: the operator's document with the highest number, and the evacuated zones.
 *
 * A document whose number is not higher than the present one changes nothing, so that a late or repeated order cannot
 * bring back an older one. [onChange] is called with each state that differs from the one before in more than its
 * position, also when it came as a snapshot.
 */
@OptIn(ExperimentalSerializationApi::class)
public class SiteStateMachine(private val onChange: (SiteState) -> Unit = {}) : StateMachine<SiteState> {
    /** State after the last applied command. */
    @Volatile
    public var current: SiteState = EMPTY
        private set

    override fun apply(index: Long, command: ReplicatedCommand): SiteState {
        val old = current
        val document = command.document?.takeIf { it.number > (old.document?.number ?: -1) } ?: old.document
        val evacuation = command.evacuation
        val zones = when {
            evacuation == null -> old.evacuatedZones
            evacuation.isEvacuated -> (old.evacuatedZones + evacuation.availabilityZone).distinct()
            else -> old.evacuatedZones - evacuation.availabilityZone
        }
        val isChanged = document !== old.document || zones != old.evacuatedZones
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
