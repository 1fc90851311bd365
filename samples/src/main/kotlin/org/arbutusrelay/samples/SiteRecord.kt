package org.arbutusrelay.samples

import org.arbutusrelay.standin.load.LoadOutcome
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicLong

/** What happened in a site run; safe to use from several threads. */
internal class SiteRecord {
    private val faults = ConcurrentHashMap<SiteFault, AtomicLong>()
    private val problems = ConcurrentLinkedQueue<String>()
    private val outcomes = ConcurrentLinkedQueue<LoadOutcome>()
    private val notes = ConcurrentLinkedQueue<String>()

    fun count(fault: SiteFault) {
        faults.computeIfAbsent(fault) { AtomicLong() }.incrementAndGet()
    }

    /** Returns how often [fault] happened. */
    fun faults(fault: SiteFault): Long = faults[fault]?.get() ?: 0

    /** Records that a check failed. */
    fun fail(check: String) {
        problems += check
    }

    fun add(outcome: LoadOutcome) {
        outcomes += outcome
    }

    /** Records a measured value for the report. */
    fun note(line: String) {
        notes += line
    }

    fun problems(): List<String> = problems.toList()

    fun outcomes(): List<LoadOutcome> = outcomes.toList()

    fun notes(): List<String> = notes.toList()
}
