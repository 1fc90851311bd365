package org.arbutusrelay.core.routing

import org.arbutusrelay.core.admission.DeadlineQueue
import org.arbutusrelay.core.request.RequestId
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** The queue of one service; all operations on its entries are guarded by a lock. */
internal class ServiceQueue(settings: SchedulerSettings) {
    private val lock = ReentrantLock()
    private val waiting = DeadlineQueue<RequestProfile>(settings.maxQueued, settings.fairnessLag)
    private val isolated = DeadlineQueue<RequestProfile>(settings.maxQueuedIsolated, settings.fairnessLag)

    /** Streams that must go on at one software version; each waits only for servers of its own. */
    private val versioned = DeadlineQueue<RequestProfile>(settings.maxQueued, settings.fairnessLag)
    private val entries = HashMap<RequestId, DeadlineQueue.Entry<RequestProfile>>()

    /** Number of queued requests. */
    @Volatile
    var size: Int = 0
        private set

    /**
     * True while postponed requests are known to wait in vain: one was refused after its maximum wait, and since then
     * none has been placed and the queue has not been empty.
     */
    @Volatile
    var isLateServiceVain: Boolean = false
        private set

    /** Adds a request whose [cost] counts for the fairness between callers; returns false if the queue is full. */
    fun offer(profile: RequestProfile, cost: Double = 1.0): Boolean = lock.withLock {
        val entry = queueOf(profile).offer(profile, profile.priority, profile.callerName, profile.deadlineMs, cost)
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
     * Removes the requests for which [decide] returns a placement, in queue order.
     *
     * [selectNext] may select any of the first [lookahead] requests. Draining stops at the first request that has to
     * keep waiting; a request that waits for isolation, or for a software version, does not block others.
     */
    fun drain(
        lookahead: Int,
        selectNext: (List<RequestProfile>) -> Int,
        decide: (RequestProfile) -> Placement?,
        sink: MutableList<QueuedPlacement>,
    ): Unit = lock.withLock {
        if (versioned.size > 0) drainVersioned(decide, sink)
        listOf(isolated, waiting).forEach { queue ->
            while (true) {
                val head = queue.head(lookahead)
                if (head.isEmpty()) break
                val entry = if (head.size == 1) head[0] else head[selectNext(head.map { it.value })]
                val placement = decide(entry.value) ?: break
                dequeue(entry, placement, sink, isServed = placement !is Placement.Refused)
            }
        }
    }

    private fun drainVersioned(decide: (RequestProfile) -> Placement?, sink: MutableList<QueuedPlacement>) {
        for (entry in versioned.entries().toList()) {
            val placement = decide(entry.value) ?: continue
            dequeue(entry, placement, sink, isServed = placement !is Placement.Refused)
        }
    }

    /**
     * Removes the late requests, as determined by [isLate], for which [redirect] returns a placement. The other late
     * requests are moved behind those that can still be in time.
     */
    fun postpone(
        isLate: (RequestProfile) -> Boolean,
        redirect: (RequestProfile) -> Placement?,
        sink: MutableList<QueuedPlacement>,
    ): Unit = lock.withLock {
        val late = entries.values.filter { !it.isPostponed && isLate(it.value) }
        for (entry in late) {
            val placement = redirect(entry.value)
            if (placement == null) queueOf(entry.value).postpone(entry) else dequeue(entry, placement, sink)
        }
    }

    /**
     * Returns the longest wait of requests that are not postponed and at least as urgent as [profile], in milliseconds.
     */
    fun longestWaitMs(profile: RequestProfile, nowMs: Long): Long = if (size == 0) {
        0
    } else {
        lock.withLock {
            entries.values.filter { !it.isPostponed && it.value.priority <= profile.priority }
                .maxOfOrNull { nowMs - it.value.submittedAtMs } ?: 0
        }
    }

    /** Removes the requests for which [refuse] returns a placement, at any position in the queue. */
    fun expire(refuse: (RequestProfile) -> Placement?, sink: MutableList<QueuedPlacement>): Unit = lock.withLock {
        val expired = entries.values.mapNotNull { entry -> refuse(entry.value)?.let { entry to it } }
        for ((entry, placement) in expired) {
            if (entry.isPostponed && placement is Placement.Refused) isLateServiceVain = true
            dequeue(entry, placement, sink)
        }
    }

    private fun dequeue(
        entry: DeadlineQueue.Entry<RequestProfile>,
        placement: Placement,
        sink: MutableList<QueuedPlacement>,
        isServed: Boolean = false,
    ) {
        if (entry.isPostponed && placement is Placement.Run) isLateServiceVain = false
        remove(entry, isServed)
        sink += QueuedPlacement(entry.value, placement)
    }

    private fun remove(entry: DeadlineQueue.Entry<RequestProfile>, isServed: Boolean) {
        queueOf(entry.value).remove(entry, isServed)
        entries.remove(entry.value.id)
        updateSize()
    }

    private fun updateSize() {
        size = waiting.size + isolated.size + versioned.size
        if (size == 0) isLateServiceVain = false
    }

    private fun queueOf(profile: RequestProfile) = when {
        profile.isIsolated -> isolated
        profile.softwareVersion != null -> versioned
        else -> waiting
    }
}
