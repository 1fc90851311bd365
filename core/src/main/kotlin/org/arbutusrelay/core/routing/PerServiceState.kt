package org.arbutusrelay.core.routing

import org.arbutusrelay.core.admission.ShareBudget
import java.util.concurrent.ConcurrentHashMap

/** Scheduler state of each service that is independent of its current backend servers. */
internal class PerServiceState(private val settings: SchedulerSettings) {
    private val times = ConcurrentHashMap<String, ServiceTimeModel>()

    @Volatile
    private var maxRetryBurst = settings.maxRetryBurst
    private val retryBudgets = ConcurrentHashMap<String, ShareBudget>()

    /** Queues by service name. */
    val queues: ConcurrentHashMap<String, ServiceQueue> = ConcurrentHashMap()

    fun timesOf(serviceName: String): ServiceTimeModel = times.computeIfAbsent(serviceName) { ServiceTimeModel() }

    fun queueOf(serviceName: String): ServiceQueue = queues.computeIfAbsent(serviceName) { ServiceQueue(settings) }

    fun retryBudgetOf(serviceName: String): ShareBudget =
        retryBudgets.computeIfAbsent(serviceName) { ShareBudget(maxRetryBurst, minOf(2, maxRetryBurst)) }

    /** Sets the maximum burst of retries for each service. */
    fun limitRetryBurst(maxRetries: Long) {
        if (maxRetries == maxRetryBurst) return
        maxRetryBurst = maxRetries
        retryBudgets.values.forEach { it.resize(maxRetries) }
    }
}
