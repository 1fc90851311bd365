package org.arbutusrelay.core.admission

import org.arbutusrelay.schema.manifest.Caller
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class AdmissionPartsTest {
    @Test
    fun `entries are dequeued by priority, then deadline, with fairness between callers`() {
        val cases = listOf(
            // Entries are caller, priority and deadline. Earlier deadlines must not starve another caller.
            listOf("a-1-30", "a-1-10", "a-1-20") to "a-1-10 a-1-20 a-1-30",
            listOf("a-1-10", "b-0-90") to "b-0-90 a-1-10",
            listOf("a-1-1", "a-1-2", "a-1-3", "a-1-4", "b-1-99") to "a-1-1 a-1-2 a-1-3 b-1-99 a-1-4",
        )
        for ((entries, expected) in cases) {
            val queue = DeadlineQueue<String>(maxSize = 10, fairnessLag = 2)
            entries.forEach { text ->
                val (caller, priority, deadlineMs) = text.split("-")
                queue.offer(text, priority.toInt(), caller, deadlineMs.toLong())
            }
            val dequeued = generateSequence { queue.peek()?.also { queue.remove(it, isServed = true) }?.value }
            assertEquals(expected, dequeued.joinToString(" "))
            assertEquals(0, queue.size)
        }
    }

    @Test
    fun `the queue is bounded, counts the entries ahead and removes an entry once`() {
        val queue = DeadlineQueue<String>(maxSize = 2)
        val entry = assertNotNull(queue.offer("x", 1, "a", 50))
        queue.offer("y", 0, "a", 90)
        assertNull(queue.offer("z", 0, "a", 1), "a full queue rejects an entry")
        assertEquals(2, queue.countAhead(1, 60))
        assertEquals(1, queue.countAhead(1, 40))
        assertTrue(queue.remove(entry, isServed = false))
        assertFalse(queue.remove(entry, isServed = false))
    }

    @Test
    fun `rate, burst and concurrency of a caller are limited`() {
        val caller =
            Caller("a", "hue", tokenSha256 = emptyList(), requestsPerSecond = 10, burstRequests = 3, maxInFlight = 4)
        val limits = CallerLimits { name -> caller.takeIf { it.name == name } }
        assertEquals(listOf(0L, 0L, 0L, 100L), List(4) { limits.tryAcquire("a", 1_000, isRateExempt = false) })
        assertEquals(0, limits.tryAcquire("a", 1_100, isRateExempt = false), "admitted after the delay")
        assertTrue(limits.tryAcquire("a", 9_000, isRateExempt = true) > 0, "the concurrency limit also applies")
        limits.release("a")
        assertEquals(0, limits.tryAcquire("a", 9_000, isRateExempt = true))
        assertEquals(4, limits.inFlight("a"))
        assertEquals(0, limits.tryAcquire("unknown", 0, isRateExempt = false))
    }

    @Test
    fun `the circuit breaker opens at the threshold and admits one probe per interval`() {
        val breaker = CircuitBreaker(failureThreshold = 2, openMs = 100)
        breaker.recordFailure(0)
        assertTrue(breaker.tryAdmit(0), "one failure is below the threshold")
        breaker.recordFailure(0)
        val admitted = listOf(50L, 100L, 150L, 200L).map { breaker.tryAdmit(it) }
        assertEquals(listOf(false, true, false, true), admitted)
        breaker.recordSuccess()
        assertTrue(breaker.tryAdmit(201) && breaker.tryAdmit(201))
    }

    @Test
    fun `the concurrency limit decreases once per overload and recovers up to the capacity`() {
        val limit = ConcurrencyLimit(capacity = 10, cooldownMs = 100)
        repeat(5) { limit.recordOverload(nowMs = 0) }
        assertEquals(8, limit.current(), "failures within the cooldown lower the limit once")
        limit.recordSuccess(inFlight = 1)
        assertEquals(8, limit.current(), "a success below half of the limit does not raise it")
        repeat(100) { limit.recordSuccess(inFlight = 10) }
        assertEquals(10, limit.current())
        repeat(100) { limit.recordOverload(nowMs = 1_000L + it * 100) }
        assertEquals(1, limit.current())
    }

    @Test
    fun `a budget allows its share of the recent requests and bounds the burst`() {
        val budget = ShareBudget(maxActions = 3, initialActions = 0)
        assertFalse(budget.trySpend())
        repeat(10) { budget.recordRequest(sharePermille = 100) }
        assertEquals(1, (1..5).count { budget.trySpend() })
        repeat(1_000) { budget.recordRequest(sharePermille = 100) }
        assertEquals(3, (1..5).count { budget.trySpend() })
    }

    @Test
    fun `the share grows linearly during slow start and then stays full`() {
        val slowStart = SlowStart(startedAtMs = 100, rampMs = 1_000, startPermille = 200)
        assertEquals(listOf(200L, 200L, 600L, 1_000L), listOf(0L, 100L, 600L, 1_100L).map(slowStart::sharePermille))
        assertEquals(1_000, SlowStart.ended().sharePermille(0))
    }
}
