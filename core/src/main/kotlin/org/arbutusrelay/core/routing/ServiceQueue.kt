package org.arbutusrelay.core.routing

import org.arbutusrelay.core.admission.DeadlineQueue
import org.arbutusrelay.core.request.RequestId
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** The wait queue of one service; every method takes its lock. */
internal class ServiceQueue(settings: SchedulerSettings) {
    private val lock = ReentrantLock()
    private val waiting = DeadlineQueue<RequestProfile>(settings.maxQueued, settings.fairnessLag)
    private val isolated = DeadlineQueue<RequestProfile>(settings.maxQueuedIsolated, settings.fairnessLag)
    private val entries = HashMap<RequestId, DeadlineQueue.Entry<RequestProfile>>()

    /** Number of waiting requests. */
    @Volatile
    var size: Int = 0
        private set

    fun offer(profile: RequestProfile): Boolean = lock.withLock {
        val entry = queueOf(profile).offer(profile, profile.priority, profile.callerName, profile.deadlineMs)
        if (entry != null) entries[profile.id] = entry
        updateSize()
        entry != null
    }

    fun countAhead(profile: RequestProfile): Int =
        if (size == 0) 0 else lock.withLock { waiting.countAhead(profile.priority, profile.deadlineMs) }

    fun cancel(id: RequestId): Boolean = lock.withLock {
        val entry = entries[id] ?: return false
        remove(entry, isServed = false)
        true
    }

    /**
     * Takes out the requests for which [decide] returns a placement, in the order of the queue.
     *
     * [prefer] may take another one of the first [window] requests instead of the first. Draining stops at the first
     * request that has to wait on; a request that waits for isolation does not hold up others.
     */
    fun drain(
        window: Int,
        prefer: (List<RequestProfile>) -> Int,
        decide: (RequestProfile) -> Placement?,
        sink: MutableList<QueuedPlacement>,
    ): Unit = lock.withLock {
        listOf(isolated, waiting).forEach { queue ->
            while (true) {
                val head = queue.head(window)
                if (head.isEmpty()) break
                val entry = if (head.size == 1) head[0] else head[prefer(head.map { it.value })]
                val placement = decide(entry.value) ?: break
                takeOut(entry, placement, sink, isServed = placement !is Placement.Refused)
            }
        }
    }

    /**
     * Takes out the requests that [isLate] finds late and for which [turn] returns a placement; the others of these
     * wait on behind those that can still be in time.
     */
    fun postpone(
        isLate: (RequestProfile) -> Boolean,
        turn: (RequestProfile) -> Placement?,
        sink: MutableList<QueuedPlacement>,
    ): Unit = lock.withLock {
        val late = entries.values.filter { !it.isPostponed && isLate(it.value) }
        for (entry in late) {
            val placement = turn(entry.value)
            if (placement == null) queueOf(entry.value).postpone(entry) else takeOut(entry, placement, sink)
        }
    }

    /** Returns the longest wait of those that are served no later than [profile] and are not postponed, in ms. */
    fun longestWaitMs(profile: RequestProfile, nowMs: Long): Long = if (size == 0) {
        0
    } else {
        lock.withLock {
            entries.values.filter { !it.isPostponed && it.value.priority <= profile.priority }
                .maxOfOrNull { nowMs - it.value.submittedAtMs } ?: 0
        }
    }

    /** Takes out the requests for which [refuse] returns a refusal, wherever they are in the queue. */
    fun expire(refuse: (RequestProfile) -> Placement?, sink: MutableList<QueuedPlacement>): Unit = lock.withLock {
        val expired = entries.values.mapNotNull { entry -> refuse(entry.value)?.let { entry to it } }
        expired.forEach { (entry, placement) -> takeOut(entry, placement, sink) }
    }

    private fun takeOut(
        entry: DeadlineQueue.Entry<RequestProfile>,
        placement: Placement,
        sink: MutableList<QueuedPlacement>,
        isServed: Boolean = false,
    ) {
        remove(entry, isServed)
        sink += QueuedPlacement(entry.value, placement)
    }

    private fun remove(entry: DeadlineQueue.Entry<RequestProfile>, isServed: Boolean) {
        queueOf(entry.value).remove(entry, isServed)
        entries.remove(entry.value.id)
        updateSize()
    }

    private fun updateSize() {
        size = waiting.size + isolated.size
    }

    private fun queueOf(profile: RequestProfile) = if (profile.isIsolated) isolated else waiting
}
