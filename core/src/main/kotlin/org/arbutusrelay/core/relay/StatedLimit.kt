package org.arbutusrelay.core.relay

/** What a response says about the rate of requests that its backend server takes. */
public sealed interface StatedLimit {
    /** The response names no limit. */
    public data object None : StatedLimit

    /** The response names something that is not a limit; it says nothing. */
    public data object Unreadable : StatedLimit

    /** The backend server takes [permille] thousandths of a request per second from all hosts together. */
    public data class Named(val permille: Long) : StatedLimit

    public companion object {
        /** Highest limit in thousandths of a request per second; more than all hosts together send to a server. */
        public const val MAX_PERMILLE: Long = 1_000_000_000

        private const val MAX_DIGITS = 400
        private const val PERMILLE = 1_000
        private val decimal = Regex("""\d{1,$MAX_DIGITS}(\.\d{1,$MAX_DIGITS})?""")

        /**
         * Returns what [values] of the header say, each a decimal number of requests per second.
         *
         * The lowest of several limits counts, as the backend server takes no more in any case.
         */
        public fun parse(values: List<String>): StatedLimit {
            if (values.isEmpty()) return None
            val lowest = values.map { it.trim() }.filter(decimal::matches).minOfOrNull { it.toDouble() }
                ?: return Unreadable
            return Named(minOf(lowest * PERMILLE, MAX_PERMILLE.toDouble()).toLong())
        }
    }
}
