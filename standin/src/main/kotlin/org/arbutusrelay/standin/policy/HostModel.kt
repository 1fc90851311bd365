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

/** Simulates an entry host: runs the production scheduler and applies its placements to engines and regions. */
internal class HostModel(
    private val model: PolicyModel,
    private val region: RegionModel,
    private val name: String,
    private val policy: Policy,
    private val random: Random,
) {
    /** A request on this host; [onEnd] is called once, with the result of the last attempt. */
    private class Pending(val arrival: Arrival, val onEnd: (AttemptResult) -> Unit)

    private val clock = model.clock
    private var scheduler = newScheduler()
    private val pending = HashMap<RequestId, Pending>()
    private var epoch = 1L

    fun queued(): Long = scheduler.queuedRequests().toLong()

    fun predictedMs(service: String): Long = scheduler.predictedMs(service)

    fun updateTable(table: RoutingTable) = scheduler.updateTable(table)

    fun applyCacheEvents(engine: String, events: CacheEvents) = scheduler.recordCacheEvents(engine, events)

    fun poll() = applyPlacements(scheduler.poll(nowMs()))

    /** Ends all pending requests with a lost connection and replaces the scheduler by an empty one. */
    fun fail() {
        val interrupted = pending.values.toList()
        pending.clear()
        epoch++
        scheduler = newScheduler()
        interrupted.forEach { it.onEnd(AttemptResult.CONNECTION_LOST) }
    }

    /** Accepts a request; [allowedRegions] starts with the home region. */
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
            is Placement.Refused -> finish(profile, AttemptResult.REFUSED)
            is Placement.Run -> run(placement.attempt)
            is Placement.Forward -> forward(placement.attempt, placement.region)
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

    private fun forward(attempt: PlacedAttempt, target: String) {
        val arrival = pending[attempt.profile.id]?.arrival ?: return
        model.result.forwarded++
        val delayMs = model.workload.link.oneWayDelayMs.toDouble()
        val targetRegion = model.regions.first { it.spec.name == target }
        val reply = { result: AttemptResult -> clock.schedule(clock.nowMs + delayMs) { complete(attempt, result) } }
        clock.schedule(clock.nowMs + delayMs) {
            if (!targetRegion.isUp || model.isPartitioned) {
                reply(AttemptResult.CONNECTION_LOST)
            } else {
                val deadlineMs = attempt.profile.deadlineMs - delayMs
                val host = targetRegion.hosts[random.nextInt(targetRegion.hosts.size)]
                host.accept(arrival, attempt.profile.allowedRegions, deadlineMs, isForwarded = true, onEnd = reply)
            }
        }
    }

    private fun complete(attempt: PlacedAttempt, result: AttemptResult) {
        if (attempt.profile.id.epoch != epoch) return
        applyPlacements(scheduler.complete(attempt, result, nowMs()))
        val profile = attempt.profile
        val isRetryable = result == AttemptResult.CONNECTION_LOST && profile.isIdempotent && !profile.isForwarded
        if (isRetryable && scheduler.tryRetry(profile, nowMs())) {
            val retryProfile = profile.copy(triedBackendServers = profile.triedBackendServers + attempt.backendServer)
            place(retryProfile, scheduler.submit(retryProfile, nowMs()))
        } else {
            finish(profile, result)
        }
    }

    private fun applyPlacements(placements: List<QueuedPlacement>) =
        placements.forEach { place(it.profile, it.placement) }

    private fun finish(profile: RequestProfile, result: AttemptResult) {
        pending.remove(profile.id)?.onEnd?.invoke(result)
    }

    private fun newScheduler() = DefaultRequestScheduler(
        callerOf = { null },
        serverSelector = policy.serverSelector(random),
        regionSelector = policy.regionSelector(random),
    )

    private fun nowMs() = clock.nowMs.toLong()
}
