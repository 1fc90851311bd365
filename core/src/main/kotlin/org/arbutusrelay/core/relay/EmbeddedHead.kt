package org.arbutusrelay.core.relay

/** Head of a response that was found inside the body of another. */
public data class EmbeddedHead(
    val statusCode: Int,
    /** Names and values in the order of the head. */
    val fields: List<Pair<String, String>>,
    /**
     * False if a line that is no field stands in place of the empty line.
     *
     * The end of a chunk that the head has filled takes the empty line away. Else it is a text that quotes a head.
     */
    val isEnded: Boolean = true,
)

/** Tells by its fields whether a head inside a body is that of another response, or is quoted by the body. */
public interface EmbeddedHeadRule {
    /**
     * True if the body is a stream of events.
     *
     * Each line of a quotation is then a field of its event, so that a head with any other field is that of a response.
     */
    public val isEventStream: Boolean

    /** Returns true if a field [name] names the request that its head responds to, as no quotation does. */
    public fun namesRequest(name: String): Boolean
}
