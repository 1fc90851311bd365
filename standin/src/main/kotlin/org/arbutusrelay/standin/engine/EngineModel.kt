package org.arbutusrelay.standin.engine

/** Speed and limits of a stand-in engine. */
public data class EngineModel(
    /** Requests that run at the same time. */
    val capacity: Int = 32,
    /** Requests that wait for a slot; more are refused. */
    val maxQueued: Int = 64,
    /** Time to process one token of the prompt that is not cached, in microseconds. */
    val prefillMicrosPerToken: Long = 200,
    /** Time to generate one token when a single request runs, in microseconds. */
    val decodeMicrosPerToken: Long = 10_000,
    /** Additional time to generate a token for each other running request, in microseconds. */
    val decodeMicrosPerConcurrentRequest: Long = 200,
    /** Prompt prefix blocks that the cache holds. */
    val cacheBlocks: Int = 4_096,
    /** Words in one block of the prefix cache; a word counts as one token. */
    val blockTokens: Int = 16,
    /** True when orders with an old fencing token are refused. */
    val isFencingChecked: Boolean = true,
    /** A prompt that holds this text ends all connections of the engine, as a crash does. */
    val crashMarker: String = "crash-the-engine",
) {
    init {
        require(capacity > 0) { "capacity must be positive, found $capacity" }
        require(blockTokens > 0) { "blockTokens must be positive, found $blockTokens" }
    }
}
