package org.arbutusrelay.core.routing

import org.arbutusrelay.core.admission.ShareBudget
import java.util.concurrent.ConcurrentHashMap

/** What the scheduler keeps for each service, whatever happens to its backend servers. */
internal class ServiceRecords(private val settings: SchedulerSettings) {
    private val times = ConcurrentHashMap<String, ServiceTimes>()

    @Volatile
    private var maxRetryBurst = settings.maxRetryBurst
    private val retryBudgets = ConcurrentHashMap<String, ShareBudget>()

    /** Queues by the name of the service. */
    val queues: ConcurrentHashMap<String, ServiceQueue> = ConcurrentHashMap()

    fun timesOf(serviceName: String): ServiceTimes = times.computeIfAbsent(serviceName) { ServiceTimes() }

    fun queueOf(serviceName: String): ServiceQueue = queues.computeIfAbsent(serviceName) { ServiceQueue(settings) }

    fun retryBudgetOf(serviceName: String): ShareBudget =
        retryBudgets.computeIfAbsent(serviceName) { ShareBudget(maxRetryBurst, minOf(2, maxRetryBurst)) }

    /** Bounds the retries that each service may give at once. */
    fun limitRetryBurst(maxRetries: Long) {
        if (maxRetries == maxRetryBurst) return
        maxRetryBurst = maxRetries
        retryBudgets.values.forEach { it.resize(maxRetries) }
    }
}
