package org.arbutusrelay.core.relay

/** Part of a response to one request that does not belong to that response. */
public enum class ResponseDefect {
    /** An event without an identifier in a stream whose events have identifiers. */
    EVENT_WITHOUT_ID,

    /** A second response to the same request, inside the body of the first. */
    SECOND_RESPONSE,

    /** A response to another request, or to one that it does not name, inside the body. */
    FOREIGN_RESPONSE,
    ;

    /** Identifier in metrics, such as `event_without_id`. */
    public val id: String = name.lowercase()
}
