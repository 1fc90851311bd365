package org.arbutusrelay.core.ledger

/**
 * Limits of a region ledger.
 *
 * Every replica of a group must use the same limits; otherwise the same commands would lead to different states.
 */
public data class LedgerLimits(
    /** Retention of finished and settled entries and of tombstones, in milliseconds of ledger time. */
    public val retentionMs: Long = 24L * 60 * 60 * 1_000,
    /** Delay between the deadline of an open grant and its settlement, in milliseconds. */
    public val graceMs: Long = 30_000,
    /** Maximum size of a stored response body, in bytes. */
    public val maxResponseBytes: Int = 256 * 1024,
    /** Maximum number of entries plus tombstones; further grants are refused. */
    public val maxRecords: Int = 4_000_000,
    /** Maximum total size of stored bodies, in bytes; a response that exceeds it is stored without its body. */
    public val maxStoredBytes: Long = 512L * 1024 * 1024,
) {
    init {
        require(retentionMs > 0) { "retentionMs must be positive" }
        require(graceMs >= 0) { "graceMs must not be negative" }
        require(maxResponseBytes >= 0) { "maxResponseBytes must not be negative" }
        require(maxRecords > 0) { "maxRecords must be positive" }
        require(maxStoredBytes >= 0) { "maxStoredBytes must not be negative" }
    }
}
