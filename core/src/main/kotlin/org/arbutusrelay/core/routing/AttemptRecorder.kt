package org.arbutusrelay.core.routing

/** Updates the service-time model, slowdown, concurrency limit and circuit breaker from the results of attempts. */
internal object AttemptRecorder {
    /** Releases the slot of a finished attempt and updates the statistics from its [result]. */
    fun end(open: OpenAttempt, attempt: PlacedAttempt, result: AttemptResult, nowMs: Long) {
        val isWaitEnded = result == AttemptResult.CANCELLED || result == AttemptResult.TIMED_OUT
        if (isWaitEnded && open.firstByteMs == OpenAttempt.NO_FIRST_BYTE) recordWait(open, attempt, nowMs)
        open.region?.let { endRemote(it, attempt, result, nowMs) }
        open.slots?.let { endLocal(it, open, attempt, result, nowMs) }
    }

    /**
     * Records how long an attempt has waited beyond its prediction, at its first byte or in vain.
     *
     * Without the waits in vain, only the requests that were served would count, and a server that serves none of them
     * would look as good as an idle one.
     */
    fun recordWait(open: OpenAttempt, attempt: PlacedAttempt, nowMs: Long) {
        val speed = CurrentSpeed.correction(open.placementSpeed, open.speedAt(nowMs)) ?: return
        val overrunMs = (nowMs - attempt.placedAtMs) / speed - open.predictedFirstByteMs
        val isInVain = open.firstByteMs == OpenAttempt.NO_FIRST_BYTE
        if (isInVain && overrunMs <= 0) return
        open.region?.recordOverrun(attempt.profile, overrunMs, nowMs)
        if (open.slots != null) open.times.firstByteOverruns.record(attempt.profile.priority, overrunMs, nowMs)
    }

    private fun endRemote(region: RegionSlots, attempt: PlacedAttempt, result: AttemptResult, nowMs: Long) {
        val serviceName = attempt.profile.serviceName
        region.release(serviceName)
        when (result) {
            AttemptResult.COMPLETE -> region.breaker.recordSuccess()

            // Connections to a region that is cut off time out, and each costs its request a second.
            AttemptResult.CONNECTION_LOST, AttemptResult.UNREACHABLE -> region.breaker.recordFailure(nowMs)

            AttemptResult.REFUSED -> {
                region.breaker.recordFailure(nowMs)
                val waitedMs = (nowMs - attempt.placedAtMs).toDouble()
                region.recordOverrun(attempt.profile, waitedMs + REFUSAL_OVERRUN_MS, nowMs)
            }

            else -> Unit
        }
    }

    private fun endLocal(
        slots: BackendSlots,
        open: OpenAttempt,
        attempt: PlacedAttempt,
        result: AttemptResult,
        nowMs: Long,
    ) {
        val inFlight = slots.load()
        recordHold(slots, open, attempt, result, nowMs)
        slots.release()
        slots.memory.release(open.reservedTokens)
        recordStream(slots, open, attempt, result, nowMs)
        val elapsedMs = (nowMs - attempt.placedAtMs).toDouble()
        when (result) {
            AttemptResult.COMPLETE -> {
                slots.breaker.recordSuccess()
                slots.failureRate.record(isFailure = false, nowMs)
                val endSpeed = CurrentSpeed.correction(open.placementSpeed, open.speedAt(nowMs))
                recordTimes(slots, open, attempt, elapsedMs, endSpeed)
                val ratio = elapsedMs / open.predictedMs
                // The length of a stream is not known in advance, so only its time to first byte indicates how fast the
                // server is.
                val isStream = attempt.profile.isStream
                val lastingRatio =
                    if (isStream) lastingFirstByteRatio(open, attempt) else endSpeed?.let { ratio / it }
                lastingRatio?.let { slots.slowdown.record(it, nowMs) }
                if (ratio > OVERLOAD_TIME_RATIO && !isStream) {
                    slots.limit.recordOverload(nowMs)
                } else {
                    slots.limit.recordSuccess(inFlight)
                }
            }

            AttemptResult.SERVER_ERROR, AttemptResult.CONNECTION_LOST -> {
                slots.breaker.recordFailure(nowMs)
                slots.failureRate.record(isFailure = true, nowMs)
            }

            AttemptResult.UNREACHABLE -> slots.breaker.open(nowMs)

            // Where the memory is known, the load in the refusal counts: other hosts may have filled the server.
            AttemptResult.REFUSED -> if (slots.memory.capacityTokens == 0L) slots.limit.recordOverload(nowMs)

            AttemptResult.TIMED_OUT -> {
                slots.failureRate.record(isFailure = true, nowMs)
                slots.limit.recordOverload(nowMs)
                val speed = CurrentSpeed.correction(open.placementSpeed, open.speedAt(nowMs))
                val ratio = if (speed == null) 0.0 else elapsedMs / speed / open.predictedMs
                if (ratio > 1) slots.slowdown.record(ratio, nowMs)
            }

            AttemptResult.CANCELLED -> Unit
        }
    }

    /** Holds requests back from a server with a known memory that has turned one away; ends the hold otherwise. */
    private fun recordHold(
        slots: BackendSlots,
        open: OpenAttempt,
        attempt: PlacedAttempt,
        result: AttemptResult,
        nowMs: Long,
    ) {
        // The slot that another request of this host held is free.
        if (result != AttemptResult.REFUSED) return slots.refusalHold.clear()
        if (slots.memory.capacityTokens == 0L) return
        val spread = BackendSlots.spreadOf(attempt.profile.id.hashCode().toLong())
        val slotMs = open.times.meanMs() / slots.capacity
        slots.recordFull(slotMs, spread, nowMs)
        open.times.probeHold.record(slotMs, 0, spread, nowMs)
    }

    /**
     * Records the length of a stream and its time per event.
     *
     * One that was cut off counts too; otherwise only streams that were fast enough would.
     */
    private fun recordStream(
        slots: BackendSlots,
        open: OpenAttempt,
        attempt: PlacedAttempt,
        result: AttemptResult,
        nowMs: Long,
    ) {
        if (open.events == 0) return
        val isComplete = result == AttemptResult.COMPLETE
        open.times.streamLengths.record(attempt.profile, open.events, isCut = !isComplete)
        if (open.events < MIN_TIMED_EVENTS) return
        val endMs = if (isComplete) open.lastEventMs else nowMs
        val eventMs = (endMs - open.firstByteMs).toDouble() / (open.events - 1)
        val share = (open.load + slots.load()) / 2.0 / slots.capacity
        open.times.eventTimes.predictMs(share)?.let { slots.eventSpeed.record(eventMs / maxOf(1.0, it), nowMs) }
        open.times.eventTimes.record(share, eventMs)
    }

    /** Returns null if the server was disturbed for a part of the time; 1 without a first byte. */
    private fun lastingFirstByteRatio(open: OpenAttempt, attempt: PlacedAttempt): Double? {
        val firstByteMs = open.firstByteAfterMs(attempt.placedAtMs) ?: return 1.0
        val speed = CurrentSpeed.correction(open.placementSpeed, open.firstByteSpeed)
        return speed?.let { firstByteMs / it / open.predictedFirstByteMs }
    }

    private fun recordTimes(
        slots: BackendSlots,
        open: OpenAttempt,
        attempt: PlacedAttempt,
        elapsedMs: Double,
        endSpeed: Double?,
    ) {
        val firstByteMs = open.firstByteAfterMs(attempt.placedAtMs)
        val firstByteSpeed = CurrentSpeed.correction(open.placementSpeed, open.firstByteSpeed)
        if (firstByteMs != null && firstByteSpeed != null) {
            open.times.firstByte.record(open.aheadTokens + open.uncachedTokens, firstByteMs / firstByteSpeed)
        }
        if (endSpeed == null) return
        open.times.record(
            ServiceTimeModel.Sample(
                open.uncachedTokens,
                attempt.profile.responseTokens,
                firstByteMs?.let { it / endSpeed },
                elapsedMs / endSpeed,
                open.load,
                slots.capacity,
            ),
        )
    }

    /** The time between two events tells little about the mean. */
    private const val MIN_TIMED_EVENTS = 4

    /** Added to the wait of a refused request, which would have waited longer by an unknown time. */
    private const val REFUSAL_OVERRUN_MS = 500.0

    // Predictions are within a factor of 2 in the policy measurement, so a ratio of 3 indicates overload.
    private const val OVERLOAD_TIME_RATIO = 3.0
}
