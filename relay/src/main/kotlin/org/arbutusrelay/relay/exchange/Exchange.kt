package org.arbutusrelay.relay.exchange

import io.netty.handler.codec.http.HttpHeaders
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.Outcome
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.relay.AttemptFailure
import org.arbutusrelay.core.relay.EventStreamCursor
import org.arbutusrelay.core.relay.RetryQuestion
import org.arbutusrelay.core.relay.RetryRules
import org.arbutusrelay.core.relay.RetryVerdict
import org.arbutusrelay.core.route.Route
import org.arbutusrelay.core.route.RouteKind
import org.arbutusrelay.core.routing.AttemptResult
import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.core.routing.Placement
import org.arbutusrelay.core.routing.RequestProfile
import org.arbutusrelay.relay.backend.BackendHead
import org.arbutusrelay.relay.backend.BackendRequest
import org.arbutusrelay.relay.dialect.BackendRequestMetadata
import org.arbutusrelay.relay.dialect.RequestMetadata
import org.arbutusrelay.relay.ingress.IngressExchange
import org.arbutusrelay.relay.ingress.IngressRequest
import org.arbutusrelay.relay.ingress.ResponseWriter

/**
 * Takes one request from its arrival to its response.
 *
 * The request waits for a place, is sent to a backend server or to a host of another region, and is sent again where
 * [RetryRules] and the retry budget allow it. The caller gets one response: a backend server's own, whole, or an error
 * that tells truly whether the request may have run. Used on the event loop only.
 */
internal class Exchange(
    private val core: RelayCore,
    private val profiles: ProfileBuilder,
    private val request: IngressRequest,
    writer: ResponseWriter,
) : IngressExchange {
    private val response = CallerResponse(request, writer)
    private var resolved: Resolved? = null
    private var phase = Phase.NEW
    private var attempt: Attempt? = null
    private var attempts = 0
    private var runs = 0
    private var tried = emptySet<String>()
    private var heldAnswer: WholeAnswer? = null
    private val cursor by lazy { EventStreamCursor(resolved?.facts?.lastEventId) }

    /** What the scheduler knows of the request; valid once it was submitted. */
    lateinit var profile: RequestProfile
        private set

    val route: Route? get() = resolved?.route
    val attemptId: String? get() = resolved?.facts?.attemptId
    val serviceName: String? get() = resolved?.serviceName
    val remainingMs: Long? get() = resolved?.let { it.deadlineMs - core.clock.nowMs() }
    val ageMs: Long get() = core.clock.nowMs() - request.receivedMs
    val isForwarded: Boolean get() = request.isForwarded
    val attemptCount: Int get() = attempts

    /** Number of the document by which the request was decided. */
    val documentNumber: Long? get() = resolved?.documentNumber

    override fun start() {
        core.openExchanges++
        resolve()
    }

    private fun resolve() {
        val table = core.routes.get()
        if (table == null) {
            if (isWorthWaiting(NOT_READY_WAIT_MS)) again(::resolve) else refuse(RelayError(ErrorKind.NOT_READY))
            return
        }
        val found = table.find(request.authority, request.path)
            ?: return refuse(RelayError(ErrorKind.UNKNOWN_SERVICE, "no route for ${request.authority}${request.path}"))
        val facts = core.dialect.decodeRequest(request.headers).fold({ return refuse(it) }, { it })
        val waitMs = minOf(facts.deadlineMs ?: found.timeoutMs, found.timeoutMs)
        val service = ForwardHeaders.serviceOf(request.headers)?.takeIf { request.isForwarded }
            ?: found.serviceFor(core.drawBelow(found.totalWeight))
        resolved = Resolved(found, facts, service, request.receivedMs + waitMs, table.plan.number)
        core.schedule(waitMs) { onDeadline() }
        profile = profiles.build(
            core.nextId(),
            found,
            service,
            (table.plan.services[service]?.cacheTokens ?: 0) > 0,
            facts,
            request.receivedMs - if (request.isForwarded) ForwardHeaders.ageMsOf(request.headers) else 0,
            request.receivedMs + waitMs,
            request.isForwarded,
        )
        submit()
    }

    override fun onCallerLeft() {
        when (phase) {
            Phase.DONE -> return

            Phase.NEW -> Unit

            Phase.WAITING -> core.withdraw(this)

            Phase.SENT -> {
                // The backend server finishes what may run only once; the response has nobody to go to.
                if (route?.kind == RouteKind.AT_MOST_ONCE) return
                attempt?.cancel(AttemptResult.CANCELLED)
            }
        }
        core.events.callerLeft(this)
        finish()
    }

    /** Goes on with the scheduler's decision. */
    fun onPlacement(placement: Placement) {
        when (placement) {
            is Placement.Run -> send(placement.attempt, placement.attempt.address, placement.attempt.backendServer)
            is Placement.SendAway -> sendAway(placement)
            is Placement.Queued -> enterQueue()
            is Placement.Refused -> onRefused(placement.error)
        }
    }

    /** Tries again for a while on a host that has just started and does not know all backend servers yet. */
    private fun onRefused(error: RelayError) {
        val isUnknown = error.kind == ErrorKind.NO_BACKEND_SERVER || error.kind == ErrorKind.REGION_UNREACHABLE
        val waitMs = resolved?.let { (it.deadlineMs - request.receivedMs) / SETTLING_WAIT_PARTS } ?: 0
        if (isUnknown && attempts == 0 && isWorthWaiting(waitMs)) again(::submit) else giveUp(error)
    }

    private fun isWorthWaiting(waitMs: Long) = core.isSettling && ageMs < waitMs

    private fun again(action: () -> Unit) {
        core.schedule(SETTLING_POLL_MS) { if (phase == Phase.NEW || phase == Phase.WAITING) action() }
    }

    private fun submit() = onPlacement(core.scheduler.submit(profile, core.clock.nowMs()))

    private fun enterQueue() {
        phase = Phase.WAITING
        core.await(profile.id, this)
        core.events.queued(this, core.scheduler.queuedRequests())
    }

    private fun sendAway(placement: Placement.SendAway) {
        val affinity = profile.prefixHashes.getOrNull(AFFINITY_BLOCK)?.toString() ?: profile.id.toString()
        val address = core.forwardTargets.find(placement.region, affinity, tried)
        if (address == null) {
            core.complete(placement.attempt, AttemptResult.REFUSED)
            return giveUp(RelayError(ErrorKind.REGION_UNREACHABLE))
        }
        send(placement.attempt, address, null)
    }

    private fun send(placed: PlacedAttempt, address: String, backendServer: String?) {
        val call = resolved ?: return
        phase = Phase.SENT
        attempts++
        val opened = Attempt(core, this, placed, address)
        attempt = opened
        core.events.placed(this, placed, address, if (attempts > 1) cursor.lastEventId else null)
        opened.start(BackendRequest(request.method, request.uri, headersFor(call, placed, backendServer), request.body))
        if (attempt === opened && call.route.isRepeatable) watch(opened)
    }

    private fun headersFor(call: Resolved, placed: PlacedAttempt, backendServer: String?): HttpHeaders {
        val facts = BackendRequestMetadata(
            backendServer = backendServer,
            remainingMs = (call.deadlineMs - core.clock.nowMs()).coerceAtLeast(1),
            priority = call.route.priority,
            lastEventId = if (call.route.kind == RouteKind.STREAM) cursor.lastEventId else null,
            cacheSource = placed.cacheSourceAddress.ifEmpty { null },
        )
        val forwardedService = call.serviceName.takeIf { backendServer == null }
        return SendHeaders.of(request, core.dialect, facts, forwardedService, ageMs)
    }

    /** Turns to another backend server when this one stays silent for longer than a response should take. */
    private fun watch(watched: Attempt) {
        val call = resolved ?: return
        val limitMs = if (watched.hasProgressed) {
            EVENT_SILENCE_MS
        } else {
            maxOf(MIN_SILENCE_MS, call.route.targetLatencyMs * SILENCE_TARGETS)
        }
        val silentMs = core.clock.nowMs() - watched.progressMs
        if (silentMs < limitMs) {
            core.schedule(limitMs - silentMs) { if (attempt === watched && phase == Phase.SENT) watch(watched) }
            return
        }
        val isWorthwhile = decide(AttemptFailure.SILENT) == RetryVerdict.RETRY
        if (isWorthwhile && core.scheduler.tryRetry(profile, core.clock.nowMs())) {
            watched.cancel(AttemptResult.TIMED_OUT)
            runs++
            core.events.attemptFailed(this, watched.placed, AttemptFailure.SILENT, "silent for $silentMs ms", true)
            resend(watched)
        } else {
            core.schedule(limitMs) { if (attempt === watched && phase == Phase.SENT) watch(watched) }
        }
    }

    /** The first bytes of a stream's body arrived and belong to the caller. */
    fun onStreamBytes(from: Attempt, head: BackendHead, bytes: ByteArray) {
        val events = cursor.push(bytes)
        if (events.isEmpty()) return
        response.writeStream(head, events)
        if (!response.isWritable) {
            from.setReading(false)
            response.onWritable { attempt?.setReading(true) }
        }
    }

    /** A stream ended as its protocol says. */
    fun onStreamEnd(from: Attempt, head: BackendHead) {
        if (cursor.isInsideEvent) return onAttemptFailed(from, AttemptFailure.UNKNOWN, "ended inside an event")
        attempt = null
        core.complete(from.placed, AttemptResult.COMPLETE)
        core.events.answered(this, head.statusCode)
        response.endStream(head)
        finish()
    }

    /** A response arrived as a whole; [isFailure] tells that the backend server failed after it ran the request. */
    fun onAnswer(from: Attempt, head: BackendHead, body: ByteArray, isFailure: Boolean) {
        if (isFailure) {
            heldAnswer = WholeAnswer(head, body)
            return onAttemptFailed(from, AttemptFailure.RAN_AND_FAILED, "status ${head.statusCode}")
        }
        attempt = null
        core.complete(from.placed, AttemptResult.COMPLETE)
        deliver(WholeAnswer(head, body))
    }

    /** An attempt ended without a response that the caller can get. */
    fun onAttemptFailed(from: Attempt, failure: AttemptFailure, detail: String, retryAfterMs: Long? = null) {
        if (attempt !== from) return
        attempt = null
        if (failure != AttemptFailure.NOT_SENT && failure != AttemptFailure.NOT_EXECUTED) runs++
        core.complete(from.placed, resultOf(failure, from))
        if (phase != Phase.SENT) return
        cursor.dropPartial()
        val isFree = failure == AttemptFailure.NOT_SENT
        val isRetried = decide(failure) == RetryVerdict.RETRY &&
            (isFree || core.scheduler.tryRetry(profile, core.clock.nowMs()))
        core.events.attemptFailed(this, from.placed, failure, detail, isRetried)
        if (isRetried) return resend(from)
        val kind = if (runs > 0) ErrorKind.BACKEND_FAILED else ErrorKind.BACKEND_REFUSED
        giveUp(RelayError(kind, detail, retryAfterMs ?: DEFAULT_RETRY_MS))
    }

    private fun resend(from: Attempt) {
        attempt = null
        tried = tried + from.placed.backendServer + from.address
        profile = profile.copy(triedBackendServers = tried)
        submit()
    }

    private fun decide(failure: AttemptFailure): RetryVerdict {
        val call = resolved ?: return RetryVerdict.GIVE_UP
        // A silent attempt is still open; the others were counted when they ended.
        val countedRuns = if (failure == AttemptFailure.SILENT) runs + 1 else runs
        val remainingMs = call.deadlineMs - core.clock.nowMs()
        val isStarted = response.isStarted
        return RetryRules.decide(RetryQuestion(call.route, failure, countedRuns, attempts, isStarted, remainingMs))
    }

    private fun resultOf(failure: AttemptFailure, from: Attempt): AttemptResult = when (failure) {
        AttemptFailure.NOT_SENT -> AttemptResult.UNREACHABLE
        AttemptFailure.NOT_EXECUTED -> if (from.isMisdirected) AttemptResult.UNREACHABLE else AttemptResult.REFUSED
        AttemptFailure.UNKNOWN -> AttemptResult.CONNECTION_LOST
        AttemptFailure.RAN_AND_FAILED -> AttemptResult.SERVER_ERROR
        AttemptFailure.SILENT -> AttemptResult.TIMED_OUT
    }

    private fun onDeadline() {
        when (phase) {
            Phase.DONE -> return

            Phase.NEW, Phase.WAITING -> {
                if (phase == Phase.WAITING) core.withdraw(this)
                giveUp(RelayError(ErrorKind.DEADLINE_UNREACHABLE))
            }

            // The backend server stops at the same deadline; its own response may still be on its way.
            Phase.SENT -> core.schedule(DEADLINE_GRACE_MS) {
                if (phase == Phase.SENT) {
                    if (attempt != null) runs++
                    attempt?.cancel(AttemptResult.TIMED_OUT)
                    attempt = null
                    giveUp(RelayError(ErrorKind.DEADLINE_EXCEEDED))
                }
            }
        }
    }

    private fun giveUp(error: RelayError) {
        val held = heldAnswer
        when {
            phase == Phase.DONE -> return

            response.isStarted -> {
                core.events.failed(this, RelayError(ErrorKind.STREAM_BROKEN, error.detail))
                response.abort()
                finish()
            }

            held != null -> deliver(held)

            // Only a request that certainly has not run may be refused as such.
            runs > 0 && error.kind.outcome == Outcome.NOT_RUN ->
                refuse(RelayError(ErrorKind.BACKEND_FAILED, error.detail))

            else -> refuse(error)
        }
    }

    private fun deliver(answer: WholeAnswer) {
        core.events.answered(this, answer.head.statusCode)
        response.deliver(answer)
        finish()
    }

    private fun refuse(error: RelayError) {
        core.events.failed(this, error)
        response.refuse(error)
        finish()
    }

    private fun finish() {
        phase = Phase.DONE
        core.openExchanges--
    }

    private class Resolved(
        val route: Route,
        val facts: RequestMetadata,
        val serviceName: String,
        val deadlineMs: Long,
        val documentNumber: Long,
    )

    private enum class Phase { NEW, WAITING, SENT, DONE }

    private companion object {
        /** Block of the prompt that tells sessions apart; the first ones are shared by many. */
        const val AFFINITY_BLOCK = 12
        const val MIN_SILENCE_MS = 1_000L
        const val EVENT_SILENCE_MS = 1_500L

        /** Multiple of the target latency after which a silent backend server is given up. */
        const val SILENCE_TARGETS = 3L

        /** How long a request waits for the routes of a host that has just started. */
        const val NOT_READY_WAIT_MS = 1_000L

        /** A request waits for backend servers of such a host for the time that it has, divided by this. */
        const val SETTLING_WAIT_PARTS = 4
        const val SETTLING_POLL_MS = 50L
        const val DEADLINE_GRACE_MS = 150L
        const val DEFAULT_RETRY_MS = 200L
    }
}
