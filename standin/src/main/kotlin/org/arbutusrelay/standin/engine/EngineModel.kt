package org.arbutusrelay.standin.engine

/** Speed and limits of a stand-in engine. */
public data class EngineModel(
    /** Maximum number of concurrent requests. */
    val capacity: Int = 32,
    /** Maximum number of queued requests; further requests are rejected. */
    val maxQueued: Int = 64,
    /** Time to prefill one uncached prompt token, in microseconds. */
    val prefillMicrosPerToken: Long = 200,
    /** Time to decode one token when a single request runs, in microseconds. */
    val decodeMicrosPerToken: Long = 10_000,
    /** Additional time to decode a token per other running request, in microseconds. */
    val decodeMicrosPerConcurrentRequest: Long = 200,
    /** Capacity of the prefix cache, in blocks. */
    val cacheBlocks: Int = 4_096,
    /** Tokens per block of the prefix cache; each word counts as one token. */
    val blockTokens: Int = 16,
    /** True when orders with an outdated fencing token are rejected. */
    val isFencingChecked: Boolean = true,
    /** A prompt that contains this text simulates a crash: all connections of the engine are closed. */
    val crashMarker: String = "crash-the-engine",
) {
    init {
        require(capacity > 0) { "capacity must be positive, found $capacity" }
        require(blockTokens > 0) { "blockTokens must be positive, found $blockTokens" }
    }
}
