package org.arbutusrelay.core.relay

/** Takes heads with the field `Id` for those of responses. */
internal object NamedHeads : EmbeddedHeadRule {
    override val isEventStream: Boolean = false

    override fun namesRequest(name: String): Boolean = name == "Id"
}
