package org.arbutusrelay.core.error

/** An expected failure, reported to a caller, a backend server or an operator. */
public data class RelayError(
    public val kind: ErrorKind,
    /** Human-readable explanation for this occurrence. */
    public val detail: String = kind.title,
    /** Delay before a retry, in milliseconds; null if a retry alone does not help. */
    public val retryAfterMs: Long? = kind.retryAfterMs,
)
