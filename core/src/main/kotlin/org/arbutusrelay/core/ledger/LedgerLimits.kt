package org.arbutusrelay.core.ledger

/**
 * Bounds of a region ledger; every replica of a group must use the same ones.
 *
 * Different bounds would let replicas that apply the same commands reach different states.
 */
public data class LedgerLimits(
    /** How long settled entries and tombstones are kept, in milliseconds of ledger time. */
    public val retentionMs: Long = 24L * 60 * 60 * 1_000,
    /** How long after its deadline an open grant is settled, in milliseconds. */
    public val graceMs: Long = 30_000,
    /** Largest response body that is stored, in bytes. */
    public val maxResponseBytes: Int = 256 * 1024,
    /** Most entries and tombstones together; further grants are refused. */
    public val maxRecords: Int = 4_000_000,
    /** Most bytes of stored bodies together; a response beyond them is recorded without its body. */
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
