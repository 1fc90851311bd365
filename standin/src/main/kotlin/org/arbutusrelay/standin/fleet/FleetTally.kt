package org.arbutusrelay.standin.fleet

/** What happened to the requests of one kind. */
internal class FleetTally {
    var arrivals = 0
    var inTime = 0
    var served = 0
    var refused = 0
    var forwarded = 0
    var ended = 0

    /** Returns [count] as a share of the arrivals. */
    fun share(count: Int): Double = count.toDouble() / maxOf(1, arrivals)
}
