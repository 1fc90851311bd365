package org.arbutusrelay.daemon.link

/** Durations and bounds of links; the defaults are those of section 12 of the design. */
public data class LinkOptions(
    /** Version that both sides must speak. */
    val protocolVersion: Long = 1,
    /** Time between two pings. */
    val pingIntervalMs: Long = 500,
    /** A link without an incoming frame for this long is closed. */
    val silenceTimeoutMs: Long = 2_000,
    /** Longest time to connect, and longest time of the handshake. */
    val handshakeTimeoutMs: Long = 2_000,
    /** Delay before the second attempt to connect; doubled after each failure. */
    val minReconnectDelayMs: Long = 50,
    /** Upper bound of the delay. A manifest must reach all hosts 5 s after a partition, so this stays well below. */
    val maxReconnectDelayMs: Long = 2_000,
    /** Frames that may wait in one lane of a link. */
    val queueFrames: Int = 4_096,
    /** Bytes that may wait in one lane of a link. */
    val queueBytes: Long = 8L shl 20,
)

/** Why a connection was refused or a link ended. */
public enum class LinkClosure {
    WRONG_VERSION,
    WRONG_SECRET,
    WRONG_HOST,
    HANDSHAKE_TIMEOUT,
    OVERSIZE_FRAME,
    MALFORMED_FRAME,
    SILENT,
    DISCONNECTED,

    /** Another connection between the two hosts is kept. */
    DUPLICATE,

    /** A new process epoch of the peer, or the preferred connection, took the place of the link. */
    REPLACED,
}
