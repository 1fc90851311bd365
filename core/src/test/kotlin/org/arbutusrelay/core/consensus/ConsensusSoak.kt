package org.arbutusrelay.core.consensus

/** Runs the randomised simulation for the seeds `--seeds A..B` and prints fault counts; stops at the first failure. */
fun main(args: Array<String>) {
    require(args.size == 2 && args[0] == "--seeds") { "usage: --seeds A..B" }
    val (first, last) = args[1].split("..").map(String::toLong)
    val counts = runSeeds(first..last)
    println("seeds $first..$last passed: $counts")
}
