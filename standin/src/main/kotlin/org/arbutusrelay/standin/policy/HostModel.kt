package org.arbutusrelay.standin.policy

import org.arbutusrelay.core.request.RequestId
import org.arbutusrelay.core.routing.AttemptResult
import org.arbutusrelay.core.routing.DefaultRequestScheduler
import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.core.routing.Placement
import org.arbutusrelay.core.routing.QueuedPlacement
import org.arbutusrelay.core.routing.RequestProfile
import org.arbutusrelay.core.routing.RoutingTable
import org.arbutusrelay.schema.api.CacheEvents
import kotlin.random.Random

/** An entry host: the real scheduler, and the way from its decisions to engines and other regions. */
internal class HostModel(
    private val model: PolicyModel,
    private val region: RegionModel,
    private val name: String,
    private val policy: Policy,
    private val random: Random,
) {
    /** One request on this host; [onEnd] gets the result of the last attempt and is called once. */
    private class Pending(val arrival: Arrival, val onEnd: (AttemptResult) -> Unit)

    private val clock = model.clock
    private var scheduler = newScheduler()
    private val pending = HashMap<RequestId, Pending>()
    private var epoch = 1L

    fun queued(): Long = scheduler.queuedRequests().toLong()

    fun predictedMs(service: String): Long = scheduler.predictedMs(service)

    fun updateTable(table: RoutingTable) = scheduler.updateTable(table)

    fun applyCacheEvents(engine: String, events: CacheEvents) = scheduler.recordCacheEvents(engine, events)

    fun poll() = settle(scheduler.poll(nowMs()))

    /** Breaks all requests off and starts with an empty scheduler. */
    fun fail() {
        val broken = pending.values.toList()
        pending.clear()
        epoch++
        scheduler = newScheduler()
        broken.forEach { it.onEnd(AttemptResult.CONNECTION_LOST) }
    }

    /** Takes a request; [allowedRegions] has the home region first. */
    fun accept(
        arrival: Arrival,
        allowedRegions: List<String>,
        deadlineMs: Double,
        isForwarded: Boolean,
        onEnd: (AttemptResult) -> Unit,
    ) {
        val profile = RequestProfile(
            RequestId(name, epoch, arrival.number), "caller-${arrival.region}-${arrival.caller}",
            model.workload.service, arrival.kind.name, arrival.kind.priority, arrival.kind.isIdempotent,
            deadlineMs.toLong(), allowedRegions, arrival.hashes, arrival.kind.promptTokens, arrival.kind.responseTokens,
            isForwarded = isForwarded,
        )
        pending[profile.id] = Pending(arrival, onEnd)
        place(profile, scheduler.submit(profile, nowMs()))
    }

    private fun place(profile: RequestProfile, placement: Placement) {
        when (placement) {
            is Placement.Queued -> Unit
            is Placement.Refused -> end(profile, AttemptResult.REFUSED)
            is Placement.Run -> run(placement.attempt)
            is Placement.Forward -> sendAway(placement.attempt, placement.region)
        }
    }

    private fun run(attempt: PlacedAttempt) {
        val arrival = pending[attempt.profile.id]?.arrival ?: return
        val engine = region.engines.first { it.name == attempt.backendServer }
        engine.submit(
            EngineModel.Job(
                arrival.hashes,
                arrival.kind.promptTokens,
                arrival.responseTokens,
                onFirstByte = { scheduler.recordFirstByte(attempt, nowMs()) },
                onEnd = { cached ->
                    if (cached != null) model.recordRun(arrival, cached)
                    complete(attempt, if (cached == null) AttemptResult.CONNECTION_LOST else AttemptResult.COMPLETE)
                },
            ),
        )
    }

    private fun sendAway(attempt: PlacedAttempt, target: String) {
        val arrival = pending[attempt.profile.id]?.arrival ?: return
        model.result.sentAway++
        val delayMs = model.workload.link.oneWayDelayMs.toDouble()
        val other = model.regions.first { it.spec.name == target }
        val reply = { result: AttemptResult -> clock.at(clock.nowMs + delayMs) { complete(attempt, result) } }
        clock.at(clock.nowMs + delayMs) {
            if (!other.isUp || model.isPartitioned) {
                reply(AttemptResult.CONNECTION_LOST)
            } else {
                val deadlineMs = attempt.profile.deadlineMs - delayMs
                val host = other.hosts[random.nextInt(other.hosts.size)]
                host.accept(arrival, attempt.profile.allowedRegions, deadlineMs, isForwarded = true, onEnd = reply)
            }
        }
    }

    private fun complete(attempt: PlacedAttempt, result: AttemptResult) {
        if (attempt.profile.id.epoch != epoch) return
        settle(scheduler.complete(attempt, result, nowMs()))
        val profile = attempt.profile
        val mayRetry = result == AttemptResult.CONNECTION_LOST && profile.isIdempotent && !profile.isForwarded
        if (mayRetry && scheduler.tryRetry(profile, nowMs())) {
            val again = profile.copy(triedBackendServers = profile.triedBackendServers + attempt.backendServer)
            place(again, scheduler.submit(again, nowMs()))
        } else {
            end(profile, result)
        }
    }

    private fun settle(placements: List<QueuedPlacement>) = placements.forEach { place(it.profile, it.placement) }

    private fun end(profile: RequestProfile, result: AttemptResult) {
        pending.remove(profile.id)?.onEnd?.invoke(result)
    }

    private fun newScheduler() = DefaultRequestScheduler(
        callerOf = { null },
        serverSelector = policy.serverSelector(random),
        regionSelector = policy.regionSelector(random),
    )

    private fun nowMs() = clock.nowMs.toLong()
}
