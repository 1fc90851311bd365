package org.arbutusrelay.core.relay

/** Reads the time for which a backend server that rejects a request wants no more of them. */
public object RetryAfter {
    /** Longest pause in milliseconds; a server that needs more asks again after it. */
    public const val MAX_MS: Long = 600_000

    private const val MAX_DIGITS = 400
    private const val MS_PER_SECOND = 1_000
    private val seconds = Regex("""\d{1,$MAX_DIGITS}(\.\d{1,$MAX_DIGITS})?""")

    /**
     * Returns the longest time in [values], in milliseconds and [MAX_MS] at most, or null if none of them is a time.
     *
     * Each value is a number of seconds, which may have a fraction. A date is not used, because the clocks of hosts and
     * servers may differ by more than a pause. Source: RFC 9110, section 10.2.3.
     */
    public fun parseMs(values: List<String>): Long? =
        values.map { it.trim() }.filter(seconds::matches).maxOfOrNull {
            minOf(it.toDouble() * MS_PER_SECOND, MAX_MS.toDouble()).toLong()
        }
}
