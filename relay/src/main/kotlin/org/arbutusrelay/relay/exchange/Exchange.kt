package org.arbutusrelay.relay.exchange

import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.Outcome
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.relay.AttemptFailure
import org.arbutusrelay.core.relay.EventStreamCursor
import org.arbutusrelay.core.relay.ResponseDefect
import org.arbutusrelay.core.relay.RetryContext
import org.arbutusrelay.core.relay.RetryRules
import org.arbutusrelay.core.relay.RetryVerdict
import org.arbutusrelay.core.relay.StreamPosition
import org.arbutusrelay.core.route.Route
import org.arbutusrelay.core.route.RouteKind
import org.arbutusrelay.core.route.RouteTable
import org.arbutusrelay.core.routing.AttemptResult
import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.core.routing.Placement
import org.arbutusrelay.core.routing.RequestProfile
import org.arbutusrelay.relay.backend.BackendHead
import org.arbutusrelay.relay.backend.BackendRequest
import org.arbutusrelay.relay.dialect.BackendRequestMetadata
import org.arbutusrelay.relay.ingress.IngressExchange
import org.arbutusrelay.relay.ingress.IngressRequest
import org.arbutusrelay.relay.ingress.ResponseWriter
import org.arbutusrelay.relay.ingress.StopState
import java.util.concurrent.Future

/**
 * Handles one request from its arrival to its response.
 *
 * The scheduler places the request, possibly after queueing it. The request is then sent to a backend server or to a
 * host of another region, and retried where [RetryRules] and the retry budget allow it. The caller receives exactly one
 * response: that of a backend server, or an error that states correctly whether the request may have run. Confined to
 * the event loop.
 */
internal class Exchange(
    private val context: RelayContext,
    private val profiles: ProfileBuilder,
    private val request: IngressRequest,
    writer: ResponseWriter,
) : IngressExchange {
    /** The response to the caller. */
    val response = CallerResponse(request, writer)
    private val admission = TenantAdmission(context.tenants, context.clock::nowMs, request)
    private var resolved: ResolvedRequest? = null
    private var phase = Phase.NEW
    private var attempt: Attempt? = null
    private var attempts = 0
    private var possibleRuns = 0
    private var tried = emptySet<String>()
    private val regions = RequestRegions(context, request, profiles)
    private val startup = StartupWait(context, request) { phase == Phase.NEW || phase == Phase.WAITING }
    private var deadlineTimer: Future<*>? = null
    private var fallbackResponse: FullResponse? = null
    private val silenceWatch = SilenceWatch(context, { attempt === it && phase == Phase.SENT }, ::onSilent)

    /** Position of the caller in a stream; resolved before the first attempt. */
    val streamPosition by lazy { StreamPosition(resolved?.metadata?.lastEventId) }

    /** Software version at which a stream must go on. */
    val streamVersion = StreamVersion(context.streamOrigins, request)

    /** Records how the attempts end; null until the request has a route. */
    var crashEvidence: CrashEvidenceRecorder? = null
        private set

    /** Description of the request for the scheduler; initialized before the request is submitted. */
    lateinit var profile: RequestProfile
        private set

    val route: Route? get() = resolved?.route
    val attemptId: String? get() = resolved?.metadata?.attemptId
    val serviceName: String? get() = resolved?.serviceName
    val remainingMs: Long? get() = resolved?.let { it.deadlineMs - context.clock.nowMs() }
    val ageMs: Long get() = context.clock.nowMs() - request.receivedMs
    val isForwarded: Boolean get() = request.isForwarded
    val attemptCount: Int get() = attempts

    /** Identifies the latest send of the request among all sends of all hosts. */
    val sendId: String get() = "${profile.id}.$attempts"

    /** Number of the route document that was applied to the request. */
    val documentNumber: Long? get() = resolved?.documentNumber

    /** Name of the tenant that the request belongs to; null if it is not known, or not needed. */
    val tenantName: String? get() = admission.tenant?.name

    override val isSent: Boolean get() = phase == Phase.SENT

    init {
        context.openExchanges++
    }

    override fun start(): Unit = resolve()

    private fun resolve() {
        val table = context.routes.get() ?: return awaitRoutes()
        val matchedRoute = table.find(request.authority, request.path)
            ?: return sendError(
                RelayError(ErrorKind.UNKNOWN_SERVICE, "no route for ${request.authority}${request.path}"),
            )
        if (!request.isForwarded) table.homeRequests.record(matchedRoute)
        val metadata = context.dialect.decodeRequest(request.headers).fold({ return sendError(it) }, { it })
        val route = admission.identify(table, matchedRoute, metadata).fold({ return sendError(it) }, { it })
        val waitMs = minOf(metadata.deadlineMs ?: route.timeoutMs, route.timeoutMs)
        if (!context.stopState.mayAccept(
                request.receivedMs + waitMs,
            )
        ) {
            return sendError(RelayError(ErrorKind.SHUTTING_DOWN))
        }
        val service = ForwardHeaders.serviceOf(request.headers)?.takeIf { request.isForwarded }
            ?: route.serviceFor(context.randomBelow(route.totalWeight))
        val call = ResolvedRequest(
            route,
            metadata,
            service,
            request.receivedMs + waitMs,
            table.plan.number,
            tenantName,
        )
        resolved = call
        deadlineTimer = context.schedule(waitMs) { onDeadline() }
        streamVersion.resolve(call) { result ->
            // The caller may have left while the origin of the stream was asked for.
            if (phase == Phase.NEW) result.fold(::failRequest) { admit(it, table) }
        }
    }

    private fun admit(call: ResolvedRequest, table: RouteTable) {
        resolved = call
        crashEvidence =
            CrashEvidenceRecorder(context.crashEvidence, request, call.serviceName, call.metadata.promptParts)
        profile = profiles.build(
            context.nextId(),
            call,
            (table.plan.services[call.serviceName]?.cacheTokens ?: 0) > 0,
            request.receivedMs - if (request.isForwarded) ForwardHeaders.ageMsOf(request.headers) else 0,
            regions.homes,
        ).copy(softwareVersion = streamVersion.required)
        admission.charge(call.metadata) { error ->
            when {
                // The caller has left, or the deadline has passed, while the quota was asked for.
                phase == Phase.DONE -> admission.giveBack()

                error != null -> failRequest(error)

                else -> submit()
            }
        }
    }

    /** Holds the request until the first document arrives; a caller's own request for a part of the caller's time. */
    private fun awaitRoutes() {
        val metadata = context.dialect.decodeRequest(request.headers).fold({ return sendError(it) }, { it })
        startup.awaitRoutes(metadata, ::resolve) { sendError(RelayError(ErrorKind.NOT_READY)) }
    }

    override fun onCallerDisconnected() {
        when (phase) {
            Phase.DONE -> return

            Phase.NEW -> Unit

            Phase.WAITING -> context.cancelQueued(this)

            Phase.SENT -> {
                // An at-most-once request is left to finish on the backend server; its response is discarded.
                if (route?.kind == RouteKind.AT_MOST_ONCE) return
                attempt?.cancel(AttemptResult.CANCELLED)
            }
        }
        if (phase != Phase.SENT && possibleRuns == 0) admission.giveBack()
        context.eventListener.callerDisconnected(this)
        finish()
    }

    override fun onAdmissionRestricted() {
        val call = resolved ?: return
        if (phase == Phase.DONE || phase == Phase.SENT || context.stopState.mayAccept(call.deadlineMs)) return
        if (phase == Phase.WAITING) context.cancelQueued(this)
        failRequest(RelayError(ErrorKind.SHUTTING_DOWN))
    }

    override fun onProcessEnding() {
        if (phase == Phase.DONE) return
        if (phase == Phase.WAITING) context.cancelQueued(this)
        val kind = if (isSent) ErrorKind.BACKEND_FAILED else ErrorKind.SHUTTING_DOWN
        if (isSent) possibleRuns++
        attempt?.cancel(AttemptResult.CANCELLED)
        attempt = null
        failRequest(RelayError(kind, "the host stopped before the response was complete"))
    }

    /** Applies the decision of the scheduler. */
    fun onPlacement(placement: Placement) {
        when (placement) {
            is Placement.Run -> send(placement.attempt, placement.attempt.address, placement.attempt.backendServer)
            is Placement.Forward -> forwardToRegion(placement)
            is Placement.Queued -> enqueue()
            is Placement.Refused -> onRefused(placement.error)
        }
    }

    /** Retries for a limited time while this host is starting and has not yet discovered all backend servers. */
    private fun onRefused(error: RelayError) {
        val hasNoTarget = error.kind == ErrorKind.NO_BACKEND_SERVER || error.kind == ErrorKind.REGION_UNREACHABLE
        val deadlineMs = resolved?.deadlineMs ?: 0
        val isHeld = hasNoTarget && attempts == 0 && startup.tryPoll(deadlineMs, ::submit)
        if (!isHeld) failRequest(error)
    }

    /** Asks the scheduler to place the request, which must not be queued. */
    fun submit() {
        resolved?.let { profile = regions.applyTo(profile, it) }
        if (crashEvidence?.isHeldBack == true) return failRequest(RelayError(ErrorKind.PROMPT_SUSPECTED))
        val placement = context.scheduler.submit(profile, context.clock.nowMs())
        profile = profile.copy(isResubmitted = true)
        onPlacement(placement)
    }

    /** Refuses the request if it is queued and has become one that crashes backend servers. */
    fun refuseIfHeldBack() {
        if (phase != Phase.WAITING || crashEvidence?.isHeldBack != true) return
        context.cancelQueued(this)
        failRequest(RelayError(ErrorKind.PROMPT_SUSPECTED))
    }

    /** Returns true if the request is queued and the document in force no longer allows it in all its regions. */
    fun mustMove(): Boolean = phase == Phase.WAITING && resolved?.let { regions.mustMove(profile, it) } == true

    private fun enqueue() {
        phase = Phase.WAITING
        context.awaitPlacement(profile.id, this)
        context.eventListener.queued(this, context.scheduler.queuedRequests())
    }

    private fun forwardToRegion(placement: Placement.Forward) {
        val affinity = profile.prefixHashes.getOrNull(AFFINITY_BLOCK_INDEX)?.toString() ?: profile.id.toString()
        val address = context.forwardTargets.select(placement.region, affinity, tried, context.clock.nowMs())
        if (address == null) {
            context.complete(placement.attempt, AttemptResult.REFUSED)
            return failRequest(RelayError(ErrorKind.REGION_UNREACHABLE))
        }
        send(placement.attempt, address, null)
    }

    private fun send(placed: PlacedAttempt, address: String, backendServer: String?) {
        val call = resolved ?: return
        if (!mayBeSent(call)) {
            context.complete(placed, AttemptResult.CANCELLED)
            return failRequest(RelayError(ErrorKind.SHUTTING_DOWN))
        }
        phase = Phase.SENT
        attempts++
        val newAttempt = Attempt(context, this, placed, address)
        attempt = newAttempt
        context.eventListener.placed(this, placed, address, if (attempts > 1) streamPosition.lastEventId else null)
        val headers = try {
            val sent = BackendRequestMetadata(
                backendServer = backendServer,
                remainingMs = (call.deadlineMs - context.clock.nowMs()).coerceAtLeast(1),
                priority = call.route.priority,
                lastEventId = if (call.route.kind == RouteKind.STREAM) streamPosition.lastEventId else null,
                cacheSource = placed.cacheSourceAddress.ifEmpty { null },
                tenancy = admission.tenancy,
            )
            val forward =
                ForwardMetadata(call.serviceName, ageMs, sendId, tenantName, profile.softwareVersion)
                    .takeIf { backendServer == null }
            BackendRequestHeaders.of(request, context.dialect, sent, forward)
        } catch (e: IllegalArgumentException) {
            // A value that another program announced, such as the name of the backend server, fits in no header.
            return onAttemptFailed(newAttempt, AttemptFailure.NOT_SENT, e.message.orEmpty())
        }
        newAttempt.start(
            BackendRequest(
                request.method,
                request.uri,
                headers,
                request.body,
                call.metadata.attemptId,
                call.deadlineMs,
            ),
        )
        if (attempt === newAttempt && call.route.isRepeatable) silenceWatch.start(newAttempt, call.route)
    }

    /** Retries on another backend server if that is allowed after [idleMs] without progress; returns false if not. */
    private fun onSilent(silent: Attempt, idleMs: Long): Boolean {
        val isRetryAllowed = mayBePlaced(silent) && decideRetry(AttemptFailure.SILENT) == RetryVerdict.RETRY
        if (!isRetryAllowed || !context.scheduler.tryRetry(profile, context.clock.nowMs())) return false
        silent.cancel(AttemptResult.TIMED_OUT)
        possibleRuns++
        silent.reportFailed(AttemptFailure.SILENT, "silent for $idleMs ms", isRetried = true)
        resend(silent)
        return true
    }

    /** Returns false if no other attempt can follow, so that one that runs is better waited for. */
    private fun mayBePlaced(current: Attempt): Boolean {
        val call = resolved ?: return false
        profile = regions.applyTo(profile, call)
        val next = profile.copy(
            softwareVersion = streamVersion.required,
            triedBackendServers = tried + current.placed.backendServer,
        )
        return profile.allowedRegions.isNotEmpty() && context.scheduler.hasOtherServer(next, context.clock.nowMs()) &&
            crashEvidence?.isHeldBack != true &&
            mayBeSent(call)
    }

    /** Returns false if the request may outlast the stop of this host; a stream that has begun goes on in any case. */
    private fun mayBeSent(call: ResolvedRequest): Boolean =
        response.isStarted || context.stopState.mayAccept(call.deadlineMs)

    /** Forwards the complete events in [bytes], the next part of a stream, to the caller. */
    fun onStreamBytes(source: Attempt, head: BackendHead, bytes: ByteArray) {
        val cursor = source.cursor
        val knownEvents = cursor.eventCount
        val events = cursor.push(bytes)
        if (events.isNotEmpty()) {
            // Bytes that complete no event are no progress: a stalled server may still send one now and then.
            source.recordProgress(cursor.eventCount - knownEvents)
            if (!response.isStarted) {
                response.softwareVersion = source.softwareVersionOf(head)
                resolved?.let { streamVersion.onBegun(it, response.softwareVersion) }
            }
            response.writeEvents(head, events)
        }
        when {
            cursor.isEventRefused -> {
                context.eventListener.responseDefect(this, ResponseDefect.EVENT_WITHOUT_ID)
                source.giveUp("event without an identifier")
            }

            cursor.isEventTooLong -> source.giveUp("event of over ${EventStreamCursor.MAX_EVENT_BYTES} bytes")

            !response.isWritable -> {
                source.pauseReading()
                response.onWritable { attempt?.resumeReading() }
            }
        }
    }

    /** A stream ended after its last event. */
    fun onStreamEnd(source: Attempt, head: BackendHead) {
        // A server that crashes may end a response without length as if it were complete.
        if (source.hasProgressed) source.recordProven()
        attempt = null
        context.complete(source.placed, AttemptResult.COMPLETE)
        context.eventListener.completed(this, head.statusCode)
        response.endStream(head)
        finish()
    }

    /** A complete response arrived; [isFailure] is true when the backend server failed while running the request. */
    fun onResponse(source: Attempt, head: BackendHead, body: ByteArray, isFailure: Boolean) {
        if (isFailure) {
            fallbackResponse = FullResponse(head, body)
            return onAttemptFailed(source, AttemptFailure.RAN_AND_FAILED, "status ${head.statusCode}")
        }
        attempt = null
        context.complete(source.placed, AttemptResult.COMPLETE)
        deliverResponse(FullResponse(head, body))
    }

    /** An attempt ended without a response that may be sent to the caller. */
    fun onAttemptFailed(source: Attempt, failure: AttemptFailure, detail: String, retryAfterMs: Long? = null) {
        if (attempt !== source) return
        attempt = null
        if (failure != AttemptFailure.NOT_SENT && failure != AttemptFailure.NOT_EXECUTED) possibleRuns++
        regions.recordFailed(source, failure, tried)
        context.complete(source.placed, failure.toResult(source))
        if (phase != Phase.SENT) return
        val isExemptFromBudget = failure == AttemptFailure.NOT_SENT || source.isRegionRefused
        resolved?.let { profile = regions.applyTo(profile, it) }
        val isRetried = profile.allowedRegions.isNotEmpty() && decideRetry(failure) == RetryVerdict.RETRY &&
            (isExemptFromBudget || context.scheduler.tryRetry(profile, context.clock.nowMs()))
        source.reportFailed(failure, detail, isRetried)
        if (isRetried) return resend(source)
        val kind = if (possibleRuns > 0) ErrorKind.BACKEND_FAILED else ErrorKind.BACKEND_REFUSED
        failRequest(RelayError(kind, detail, retryAfterMs ?: DEFAULT_RETRY_AFTER_MS))
    }

    private fun resend(source: Attempt) {
        attempt = null
        tried = tried + source.placed.backendServer + source.address
        profile = profile.copy(
            triedBackendServers = tried,
            receivedEvents = profile.receivedEvents + source.cursor.eventCount,
            softwareVersion = streamVersion.required,
        )
        submit()
    }

    private fun decideRetry(failure: AttemptFailure): RetryVerdict {
        val call = resolved ?: return RetryVerdict.GIVE_UP
        // A timed-out attempt is still open and not counted yet; the others were counted when they ended.
        val countedRuns = if (failure == AttemptFailure.SILENT) possibleRuns + 1 else possibleRuns
        val remainingMs = call.deadlineMs - context.clock.nowMs()
        val isStarted = response.isStarted
        if (isStarted && streamPosition.lastEventId == null) return RetryVerdict.GIVE_UP
        val maxRuns = if (request.isForwarded) 1 else call.route.maxAttempts
        return RetryRules.decide(
            RetryContext(call.route, failure, countedRuns, attempts, isStarted, remainingMs, maxRuns),
        )
    }

    private fun onDeadline() {
        when (phase) {
            Phase.DONE -> return

            Phase.NEW, Phase.WAITING -> {
                if (phase == Phase.WAITING) context.cancelQueued(this)
                failRequest(RelayError(ErrorKind.DEADLINE_UNREACHABLE))
            }

            // The backend server enforces the same deadline; its response may still be in flight.
            Phase.SENT -> context.schedule(StopState.RESPONSE_GRACE_MS) {
                if (phase == Phase.SENT) {
                    if (attempt != null) possibleRuns++
                    attempt?.cancel(AttemptResult.TIMED_OUT)
                    attempt = null
                    failRequest(RelayError(ErrorKind.DEADLINE_EXCEEDED))
                }
            }
        }
    }

    private fun failRequest(error: RelayError) {
        val fallback = fallbackResponse
        when {
            phase == Phase.DONE -> return

            response.isStarted -> {
                context.eventListener.failed(this, RelayError(ErrorKind.STREAM_BROKEN, error.detail))
                response.abort()
                finish()
            }

            fallback != null -> deliverResponse(fallback)

            // Only a request that certainly has not run may be reported as not run.
            possibleRuns > 0 && error.kind.outcome == Outcome.NOT_RUN ->
                sendError(RelayError(ErrorKind.BACKEND_FAILED, error.detail))

            else -> sendError(error)
        }
    }

    private fun deliverResponse(fullResponse: FullResponse) {
        context.eventListener.completed(this, fullResponse.head.statusCode)
        response.sendFull(fullResponse)
        finish()
    }

    private fun sendError(error: RelayError) {
        if (possibleRuns == 0 && error.kind.outcome == Outcome.NOT_RUN) admission.giveBack()
        context.eventListener.failed(this, error)
        response.sendError(error)
        finish()
    }

    private fun finish() {
        phase = Phase.DONE
        // The timer would keep the body in memory until the timeout of the route.
        deadlineTimer?.cancel(false)
        context.openExchanges--
        request.releaseBody()
    }

    private enum class Phase { NEW, WAITING, SENT, DONE }

    private companion object {
        /** Prompt block that distinguishes sessions; many sessions share the blocks before it. */
        const val AFFINITY_BLOCK_INDEX = 12

        const val DEFAULT_RETRY_AFTER_MS = 200L
    }
}
