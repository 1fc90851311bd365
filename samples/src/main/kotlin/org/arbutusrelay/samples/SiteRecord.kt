package org.arbutusrelay.samples

import org.arbutusrelay.standin.load.LoadOutcome
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicLong

/** Collects the events of a site run: injected failures, request outcomes, failed checks and notes. Thread-safe. */
internal class SiteRecord {
    private val faultCounts = ConcurrentHashMap<SiteFault, AtomicLong>()
    private val failures = ConcurrentLinkedQueue<String>()
    private val outcomes = ConcurrentLinkedQueue<LoadOutcome>()
    private val notes = ConcurrentLinkedQueue<String>()

    fun countFault(fault: SiteFault) {
        faultCounts.computeIfAbsent(fault) { AtomicLong() }.incrementAndGet()
    }

    /** Returns the number of occurrences of [fault]. */
    fun faultCount(fault: SiteFault): Long = faultCounts[fault]?.get() ?: 0

    /** Records a failed check. */
    fun fail(message: String) {
        failures += message
    }

    fun addOutcome(outcome: LoadOutcome) {
        outcomes += outcome
    }

    /** Records a measured value for the report of the run. */
    fun addNote(line: String) {
        notes += line
    }

    fun failures(): List<String> = failures.toList()

    fun outcomes(): List<LoadOutcome> = outcomes.toList()

    fun notes(): List<String> = notes.toList()
}
