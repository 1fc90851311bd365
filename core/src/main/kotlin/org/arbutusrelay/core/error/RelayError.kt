package org.arbutusrelay.core.error

/** An expected failure: its kind, a readable detail, and when to try again. */
public data class RelayError(
    public val kind: ErrorKind,
    /** Text for people; names what was wrong with this request. */
    public val detail: String = kind.title,
    /** When to try again, in milliseconds; null when a resend does not help by itself. */
    public val retryAfterMs: Long? = kind.retryAfterMs,
)
