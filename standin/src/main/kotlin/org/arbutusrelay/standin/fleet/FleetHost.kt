package org.arbutusrelay.standin.fleet

import org.arbutusrelay.core.request.RequestId
import org.arbutusrelay.core.routing.AttemptResult
import org.arbutusrelay.core.routing.CurrentSpeed
import org.arbutusrelay.core.routing.DefaultRequestScheduler
import org.arbutusrelay.core.routing.FirstByteRegionSelector
import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.core.routing.Placement
import org.arbutusrelay.core.routing.RemoteRegion
import org.arbutusrelay.core.routing.RequestProfile
import org.arbutusrelay.core.routing.RoutingTable
import org.arbutusrelay.core.routing.SchedulerSettings
import org.arbutusrelay.core.routing.ServerSelector
import org.arbutusrelay.core.site.BackendServerRegistry
import org.arbutusrelay.schema.manifest.RegionLink
import org.arbutusrelay.schema.message.BackendLoad
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.ServiceSummary

/** Simulates an entry host: runs the production scheduler and applies its placements to engines and regions. */
internal class FleetHost(
    private val model: FleetModel,
    private val region: FleetRegion,
    private val name: String,
    selector: ServerSelector,
) {
    private class Pending(
        val request: FleetRequest,
        var profile: RequestProfile,
        val onFirstByte: () -> Unit,
        val onEnd: (AttemptResult) -> Unit,
    ) {
        var hasFirstByte = false
        var attempts = 0

        /** Ends the current attempt when the caller leaves; a queued request has none. */
        var cancel: () -> Unit = {}
    }

    private val spec = model.spec
    private val clock = model.clock
    private val scheduler = DefaultRequestScheduler(
        callerOf = { null },
        settings = SchedulerSettings(rampMs = 1, prefixIndexBlocks = PREFIX_INDEX_BLOCKS),
        serverSelector = selector,
        regionSelector = FirstByteRegionSelector(),
    )
    private val registry = BackendServerRegistry(LEASE_MS)
    private val observed = HashMap<String, ObservedLoad>()
    private val pending = HashMap<RequestId, Pending>()
    private val allowedRegions = listOf(region.name) + (spec.regions.map { it.name } - region.name)
    private var number = 0L
    private var version = 0L

    /** Returns the loads observed since the last call. */
    fun takeObserved(): Map<String, ObservedLoad> = observed.toMap().also { observed.clear() }

    fun updateTable() {
        version++
        for (engine in model.engines.values.flatten()) {
            registry.announce(engine.state(version), model.nowMs())
            model.published[engine.name]?.let { recordLoad(engine, it) }
        }
        val (ownServers, otherServers) = registry.states(model.nowMs()).partition { it.region == region.name }
        val others = otherServers.groupBy { it.region }.mapValues { (name, servers) -> remoteRegion(name, servers) }
        val table = RoutingTable(
            region.name,
            "${region.name}-a",
            ownServers,
            others,
            sentAwayPermille = FULL_PERMILLE,
            regionHosts = region.hosts,
            builtAtMs = model.nowMs(),
        )
        scheduler.updateTable(table)
    }

    private fun recordLoad(engine: BatchingEngine, load: ObservedLoad) {
        val ageMs = (clock.nowMs - load.atMs).toLong()
        registry.recordLoad(BackendLoad(engine.name, 1, load.running, load.queued, ageMs), model.nowMs())
    }

    private fun remoteRegion(other: String, servers: List<BackendServerState>): RemoteRegion {
        val summary = ServiceSummary(
            SERVICE,
            servers.size.toLong(),
            servers.sumOf { it.capacity },
            servers.sumOf { it.running },
            servers.sumOf { it.queued },
            0,
        )
        val link = RegionLink(region.name, other, spec.linkDelayMs, LINK_BITS_PER_SECOND)
        return RemoteRegion(other, link, mapOf(SERVICE to summary), 0)
    }

    /** Accepts a request of a caller and records its end in the tally of its kind. */
    fun accept(request: FleetRequest) {
        val tally = model.tallies.getValue(request.kind.name)
        var isInTime = false
        accept(
            request,
            isForwarded = false,
            onFirstByte = {
                val firstMs = model.nowMs() - request.arrivedMs
                isInTime = firstMs <= request.kind.targetMs
                if (request.isCounted) tally.firstByteMs += firstMs.toDouble()
                if (request.isCounted && !isInTime) tally.lateFirst++
            },
            onEnd = { result ->
                if (!request.isCounted) return@accept
                tally.ended++
                val isPauseLate = request.kind.targetPauseMs in 1 until request.maxPauseMs.toLong()
                tally.maxPauseMs += request.maxPauseMs
                if (isPauseLate) tally.latePause++
                isInTime = isInTime && !isPauseLate
                if (result == AttemptResult.COMPLETE) tally.served++
                if (result == AttemptResult.COMPLETE && isInTime) tally.inTime++
                if (result == AttemptResult.REFUSED) tally.refused++
            },
        )
    }

    private fun accept(
        request: FleetRequest,
        isForwarded: Boolean,
        onFirstByte: () -> Unit,
        onEnd: (AttemptResult) -> Unit,
    ) {
        val kind = request.kind
        val sharedBlocks = maxOf(1, kind.sharedTokens / BLOCK_TOKENS)
        val id = RequestId(name, 1, ++number)
        val own = name.hashCode() * BLOCK_STRIDE + number
        val hashes = List(sharedBlocks) { request.prefix * BLOCK_STRIDE + it } +
            List(request.ownTokens / BLOCK_TOKENS) { own * BLOCK_STRIDE + it }
        val profile = RequestProfile(
            id, "", SERVICE, kind.name, kind.priority, false, request.arrivedMs + kind.deadlineMs,
            if (isForwarded) listOf(region.name) else allowedRegions,
            prefixHashes = hashes,
            promptTokens = kind.sharedTokens + request.ownTokens,
            responseTokens = kind.responseTokens,
            sharedTokens = kind.sharedTokens,
            affinityHash = request.prefix,
            canImportCache = spec.canImportCache,
            isStream = true,
            targetMs = kind.targetMs,
            targetPauseMs = if (spec.separatesLongPrompts) kind.targetPauseMs else 0,
            submittedAtMs = request.arrivedMs,
            isForwarded = isForwarded,
        )
        val entry = Pending(request, profile, onFirstByte, onEnd)
        pending[id] = entry
        clock.schedule(request.arrivedMs + kind.targetMs * PATIENCE_TARGETS) {
            if (pending[id] === entry && !entry.hasFirstByte) leave(entry)
        }
        place(id, scheduler.submit(profile, model.nowMs()))
    }

    /** The caller leaves, as callers do that have waited too long for a first byte. */
    private fun leave(entry: Pending) {
        pending.remove(entry.profile.id)
        scheduler.cancel(entry.profile)
        entry.cancel()
        entry.onEnd(AttemptResult.CANCELLED)
    }

    fun poll() = scheduler.poll(model.nowMs()).forEach { place(it.profile.id, it.placement) }

    private fun place(id: RequestId, placement: Placement) {
        when (placement) {
            is Placement.Run -> run(placement.attempt)
            is Placement.Refused -> pending.remove(id)?.onEnd?.invoke(AttemptResult.REFUSED)
            is Placement.Forward -> forward(placement.attempt, placement.region)
            is Placement.Queued -> Unit
        }
    }

    private fun run(attempt: PlacedAttempt) {
        val current = pending.getValue(attempt.profile.id)
        val engine = checkNotNull(model.engine(attempt.backendServer)) { "no engine ${attempt.backendServer}" }
        val job = BatchingEngine.Job(
            current.request,
            current.profile.deadlineMs.toDouble(),
            model.engine(attempt.cacheSourceAddress),
            onFirstByte = {
                val load = ObservedLoad(engine.running.toLong(), engine.queued.toLong(), clock.nowMs)
                observed[engine.name] = load
                recordLoad(engine, load)
                current.hasFirstByte = true
                scheduler.recordFirstByte(attempt, model.nowMs())
                // Prompts are separated only on servers that report their current speed.
                val workPercent = CurrentSpeed.USUAL_PERCENT.takeIf { spec.separatesLongPrompts }
                scheduler.recordLoad(engine.name, load.running, load.queued, model.nowMs(), workPercent)
                current.onFirstByte()
            },
            onEnd = { complete(attempt, if (it) AttemptResult.COMPLETE else AttemptResult.TIMED_OUT) },
        )
        current.cancel = {
            engine.cancel(job)
            scheduler.complete(attempt, AttemptResult.CANCELLED, model.nowMs())
                .forEach { place(it.profile.id, it.placement) }
        }
        clock.schedule(clock.nowMs + HOST_DELAY_MS) {
            if (pending[attempt.profile.id] !== current) return@schedule
            val refusalMs = model.shedding?.refusalMs(engine.name, name, clock.nowMs)
            if (refusalMs == null) engine.submit(job) else onShed(attempt, current, refusalMs)
        }
    }

    /** Sends a request that an engine has refused to another one, as long as its route allows attempts. */
    private fun onShed(attempt: PlacedAttempt, current: Pending, refusalMs: Long) {
        val isObserved = spec.shedding?.isPauseObserved == true
        model.shedding?.let {
            if (isObserved) scheduler.recordPause(attempt, refusalMs, it.nextSpread(), model.nowMs())
        }
        if (++current.attempts >= MAX_ATTEMPTS) return complete(attempt, AttemptResult.REFUSED)
        val placements = scheduler.complete(attempt, AttemptResult.REFUSED, model.nowMs())
        placements.forEach { place(it.profile.id, it.placement) }
        val tried = current.profile.triedBackendServers + attempt.backendServer
        current.profile = current.profile.copy(triedBackendServers = tried)
        place(attempt.profile.id, scheduler.submit(current.profile, model.nowMs()))
    }

    private fun forward(attempt: PlacedAttempt, target: String) {
        val current = pending.getValue(attempt.profile.id)
        if (current.request.isCounted) model.tallies.getValue(current.request.kind.name).forwarded++
        fun afterLink(action: () -> Unit) = clock.schedule(clock.nowMs + spec.linkDelayMs, action)
        // The other host ends its attempt by a timer of its own, started when it accepted the request.
        current.cancel = { scheduler.complete(attempt, AttemptResult.CANCELLED, model.nowMs()) }
        afterLink {
            model.forwardTarget(target).accept(
                current.request,
                isForwarded = true,
                onFirstByte = {
                    afterLink {
                        current.hasFirstByte = true
                        scheduler.recordFirstByte(attempt, model.nowMs())
                        current.onFirstByte()
                    }
                },
                onEnd = { result -> afterLink { complete(attempt, result) } },
            )
        }
    }

    private fun complete(attempt: PlacedAttempt, result: AttemptResult) {
        if (attempt.profile.id !in pending) return
        val placements = scheduler.complete(attempt, result, model.nowMs())
        pending.remove(attempt.profile.id)?.onEnd?.invoke(result)
        placements.forEach { place(it.profile.id, it.placement) }
    }

    private companion object {
        const val SERVICE = "drafting"
        const val PREFIX_INDEX_BLOCKS = 8_192
        const val BLOCK_TOKENS = 256
        const val BLOCK_STRIDE = 1_000_003L
        const val FULL_PERMILLE = 1_000L
        const val LINK_BITS_PER_SECOND = 1_000_000_000L
        const val HOST_DELAY_MS = 1.0
        const val MAX_ATTEMPTS = 2

        /** Callers leave after this many times their target without a first byte. */
        const val PATIENCE_TARGETS = 4.0
        const val LEASE_MS = 60_000L
    }
}
