package org.arbutusrelay.core.routing

import org.arbutusrelay.core.routing.SchedulerFixture.request
import org.arbutusrelay.core.routing.SchedulerFixture.server
import org.arbutusrelay.core.site.BackendServerRegistry
import org.arbutusrelay.schema.message.ServerLimit
import java.util.PriorityQueue
import kotlin.random.Random

/** A disturbance of one host: until [untilMs] it doesn't run, or it is cut off from the other hosts. */
internal class HostTrouble(val host: Int, val fromMs: Long, val untilMs: Long, val isFrozen: Boolean)

/**
 * Hosts of one region with production schedulers and registries, in virtual time, and the servers that they share.
 *
 * The servers in [limitedNames] name [limitPermille] in their responses from [LIMIT_AT_MS] until [limitEndMs]; the
 * others never do. Messages between hosts take up to [MAX_MESSAGE_MS]. With [isObserved] false, hosts read no limits;
 * with [isShared] false, each of them takes a limit for its own. The last host runs during [lastHostMs] only, and the
 * others learn of its start and of its end, each at a time of its own, within [MAX_START_MS] and [MAX_END_MS].
 */
internal class LimitedSite(
    private val hostCount: Int,
    private val limitPermille: Long,
    private val limitEndMs: Long = Long.MAX_VALUE,
    private val serverNames: List<String> = listOf("a", "b"),
    private val runMs: Long = 50,
    private val requestIntervalMs: Long = 25,
    private val troubles: List<HostTrouble> = emptyList(),
    private val waitMs: Long = 4_000,
    private val limitedNames: Set<String> = setOf("a"),
    private val isObserved: Boolean = true,
    private val isShared: Boolean = true,
    private val lastHostMs: LongRange = 0L..Long.MAX_VALUE,
    seed: Long = 1,
) {
    private class Event(val atMs: Long, val order: Long, val action: () -> Unit)

    private val random = Random(seed)
    private val events = PriorityQueue(compareBy<Event> { it.atMs }.thenBy { it.order })
    private var order = 0L
    private var requestNumber = 0L
    private val hosts = List(hostCount) { Host(it) }
    private var nowMs = 0L

    /** A request that reached a limited server. */
    class Arrival(val atMs: Long, val host: Int, val server: String)

    val arrivals = ArrayList<Arrival>()

    /** Time at which the first host learned that the limits have ended; null if none did. */
    var firstEndMs: Long? = null
        private set
    var submitted = 0
        private set
    var inTime = 0
        private set
    var late = 0
        private set
    var refused = 0
        private set

    fun run(endMs: Long): LimitedSite = apply {
        while (nowMs < endMs) {
            nowMs += STEP_MS
            while (events.isNotEmpty() && events.peek().atMs <= nowMs) events.poll().action()
            hosts.filterNot { it.isFrozen() }.forEach { it.step() }
            if (nowMs >= limitEndMs && firstEndMs == null && limitedHosts() < hostCount) firstEndMs = nowMs
        }
    }

    /** Number of hosts that hold server `a` to be limited. */
    fun limitedHosts(): Int = hosts.count { it.scheduler.limitedServers > 0 }

    /** Returns the highest number of requests at one limited server in [windowMs], counted from [fromMs] on. */
    fun mostIn(windowMs: Long, fromMs: Long, isCounted: (Arrival) -> Boolean = { true }): Int =
        limitedNames.maxOf { name ->
            val times = arrivals.filter { it.server == name && it.atMs >= fromMs && isCounted(it) }.map { it.atMs }
            times.maxOfOrNull { from -> times.count { it in from..from + windowMs } } ?: 0
        }

    private fun after(delayMs: Long, action: () -> Unit) {
        events += Event(nowMs + delayMs, order++, action)
    }

    private inner class Host(private val index: Int) {
        val scheduler = DefaultRequestScheduler(
            { null },
            settings = SchedulerSettings(rampMs = 1),
            serverSelector = FirstByteServerSelector(),
        )
        private val registry = BackendServerRegistry(LEASE_MS)
        private var isTableDue = true
        private var nextTableMs = 0L
        private var nextRequestMs = index * 7L
        private var nextReportMs = 0L
        private val startKnownMs = lastHostMs.first + random.nextLong(MAX_START_MS)
        private val endKnownMs = minOf(lastHostMs.last, Long.MAX_VALUE / 2) + random.nextLong(MIN_END_MS, MAX_END_MS)

        init {
            serverNames.forEach { registry.announce(server(it, capacity = 16), 0) }
        }

        fun isFrozen() = troubles.any { it.host == index && it.isFrozen && nowMs in it.fromMs until it.untilMs } ||
            !isRunning()

        private fun isRunning() = index < hostCount - 1 || nowMs in lastHostMs

        private fun knownHosts(): Set<String> = (0 until knownHostCount()).map { "h$it" }.toSet()

        private fun knownHostCount(): Int = when {
            index == hostCount - 1 -> hostCount
            lastHostMs.first > 0 && nowMs < startKnownMs -> hostCount - 1
            nowMs >= endKnownMs -> hostCount - 1
            else -> hostCount
        }

        private fun isCut() = troubles.any { it.host == index && !it.isFrozen && nowMs in it.fromMs until it.untilMs }

        fun step() {
            if (isTableDue || nowMs >= nextTableMs) updateTable()
            if (nowMs >= nextReportMs) report(REPORT_MS)
            scheduler.poll(nowMs).forEach { apply(it.placement) }
            while (nextRequestMs <= nowMs) {
                nextRequestMs = maxOf(nextRequestMs + requestIntervalMs, nowMs - requestIntervalMs)
                submitted++
                val profile = request(++requestNumber, deadlineMs = nowMs + waitMs, regions = listOf("hue"))
                    .copy(targetMs = TARGET_MS, submittedAtMs = nowMs)
                apply(scheduler.submit(profile, nowMs))
            }
        }

        private fun updateTable() {
            isTableDue = false
            nextTableMs = nowMs + TABLE_MS
            val states = registry.states(nowMs)
            val share = if (isShared) TurnShare("h$index", knownHosts()) else TurnShare("", setOf(""))
            scheduler.updateTable(
                RoutingTable(
                    "hue",
                    "hue-a",
                    states,
                    turnShare = share,
                    regionHosts = hostCount,
                    builtAtMs = nowMs,
                ),
            )
        }

        private fun apply(placement: Placement) {
            when (placement) {
                is Placement.Run -> run(placement.attempt)
                is Placement.Refused -> refused++
                else -> Unit
            }
        }

        private fun run(attempt: PlacedAttempt) {
            val isLimitedServer = attempt.backendServer in limitedNames
            if (isLimitedServer) arrivals += Arrival(nowMs, index, attempt.backendServer)
            after(random.nextLong(runMs / 2, runMs * 2)) {
                val named = if (isLimitedServer && nowMs in LIMIT_AT_MS until limitEndMs) limitPermille else null
                respond(attempt, named)
            }
        }

        /** A frozen host reads the response when it goes on. */
        private fun respond(attempt: PlacedAttempt, named: Long?) {
            if (!isRunning()) return
            if (isFrozen()) return after(STEP_MS) { respond(attempt, named) }
            val isChanged = isObserved &&
                registry.recordLimit(attempt.backendServer, attempt.incarnation, named, attempt.placedAtMs, nowMs)
            if (isChanged) {
                isTableDue = true
                report(REPORT_MS)
            }
            if (nowMs - attempt.profile.submittedAtMs <= TARGET_MS) inTime++ else late++
            scheduler.complete(attempt, AttemptResult.COMPLETE, nowMs).forEach { apply(it.placement) }
        }

        private fun report(intervalMs: Long) {
            nextReportMs = nowMs + intervalMs
            val news = registry.recentLimits(REPEAT_MS, nowMs)
            if (news.isEmpty() || isCut() || !isShared) return
            hosts.filter { it !== this }.forEach { host ->
                after(random.nextLong(MAX_MESSAGE_MS)) { host.receive(news) }
            }
        }

        private fun receive(news: List<ServerLimit>) {
            if (isCut() || !isRunning()) return
            if (isFrozen()) return after(STEP_MS) { receive(news) }
            news.forEach { if (registry.merge(it, nowMs)) isTableDue = true }
        }
    }

    companion object {
        const val LIMIT_AT_MS = 1_000L
        const val MAX_MESSAGE_MS = 250L
        private const val MAX_START_MS = 1_500L
        private const val MIN_END_MS = 3_500L
        private const val MAX_END_MS = 5_500L
        private const val TARGET_MS = 300L
        private const val STEP_MS = 5L
        private const val TABLE_MS = 450L
        private const val REPORT_MS = 1_000L
        private const val REPEAT_MS = 3_000L
        private const val LEASE_MS = 1_000_000L
    }
}
