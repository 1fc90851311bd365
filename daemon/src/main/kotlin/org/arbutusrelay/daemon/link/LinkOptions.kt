package org.arbutusrelay.daemon.link

/** Timeouts and limits of links; the defaults are specified in section 12 of the design. */
public data class LinkOptions(
    /** Protocol version; both sides must use the same one. */
    val protocolVersion: Long = 1,
    /** Interval between pings. */
    val pingIntervalMs: Long = 500,
    /** A link that receives no frame for this long is closed. */
    val silenceTimeoutMs: Long = 2_000,
    /** Timeout of the TCP connect and, separately, of the handshake. */
    val handshakeTimeoutMs: Long = 2_000,
    /** Delay before the first reconnect attempt; doubled after each failure. */
    val minReconnectDelayMs: Long = 50,
    /**
     * Maximum reconnect delay.
     *
     * A manifest must reach all hosts within 5 s after a partition heals; this delay stays well below that.
     */
    val maxReconnectDelayMs: Long = 2_000,
    /** Maximum number of queued frames in each lane of a link. */
    val maxQueuedFrames: Int = 4_096,
    /** Maximum number of queued bytes in each lane of a link. */
    val maxQueuedBytes: Long = 8L shl 20,
)

/** Why a connection was rejected or a link was closed. */
public enum class LinkClosure {
    WRONG_VERSION,
    WRONG_SECRET,
    WRONG_HOST,
    HANDSHAKE_TIMEOUT,
    OVERSIZE_FRAME,
    MALFORMED_FRAME,
    SILENT,
    DISCONNECTED,

    /** The hosts already have a preferred connection, which is kept. */
    DUPLICATE,

    /** Replaced by a connection of a new process epoch of the peer or by the preferred connection. */
    REPLACED,
}
