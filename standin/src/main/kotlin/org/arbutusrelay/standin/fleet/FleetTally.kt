package org.arbutusrelay.standin.fleet

/** What happened to the requests of one kind. */
internal class FleetTally {
    var arrivals = 0
    var inTime = 0
    var served = 0
    var refused = 0
    var forwarded = 0
    var ended = 0

    /** Requests whose first byte was late, of those that got one. */
    var lateFirst = 0

    /** Requests with a pause above the target. */
    var latePause = 0
    val firstByteMs: ArrayList<Double> = ArrayList()
    val maxPauseMs: ArrayList<Double> = ArrayList()

    /** Returns [count] as a share of the arrivals. */
    fun share(count: Int): Double = count.toDouble() / maxOf(1, arrivals)
}
