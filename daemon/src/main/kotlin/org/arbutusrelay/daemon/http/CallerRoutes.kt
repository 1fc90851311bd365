package org.arbutusrelay.daemon.http

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensureNotNull
import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import io.javalin.http.HandlerType
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.future.future
import kotlinx.coroutines.withContext
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.request.RequestId
import org.arbutusrelay.core.routing.AttemptResult
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.backend.AttemptEnd
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.manifest.ManifestService
import org.arbutusrelay.daemon.membership.MembershipService
import org.arbutusrelay.daemon.observe.RelayMetrics
import org.arbutusrelay.daemon.observe.Tracing
import org.arbutusrelay.daemon.request.Authenticator
import org.arbutusrelay.daemon.request.ChatBody
import org.arbutusrelay.daemon.request.InFlightRequests
import org.arbutusrelay.daemon.request.IncomingRequest
import org.arbutusrelay.daemon.request.RequestPipeline
import org.arbutusrelay.daemon.request.RequestResolver
import org.arbutusrelay.daemon.request.ResolvedRequest
import org.arbutusrelay.schema.api.EntryHostList
import org.arbutusrelay.schema.manifest.Caller
import org.arbutusrelay.schema.message.HeaderField
import java.util.concurrent.atomic.AtomicLong

/** HTTP routes for callers: chat completions, plain services and the list of entry hosts. */
public class CallerRoutes(
    private val self: HostIdentity,
    private val manifests: ManifestService,
    private val membership: MembershipService,
    private val resolver: RequestResolver,
    private val pipeline: RequestPipeline,
    private val inFlight: InFlightRequests,
    private val metrics: RelayMetrics,
    private val tracing: Tracing,
    private val scope: CoroutineScope,
    private val dispatcher: CoroutineDispatcher,
    clock: RelayClock,
    receiveTimeoutMs: Long,
) : RouteGroup {
    private val authenticator = Authenticator(manifests)
    private val bodyReader = BodyReader(clock, receiveTimeoutMs, MAX_CONCURRENT_READS)
    private val requestCounter = AtomicLong()

    override fun addTo(routes: RoutesConfig) {
        routes.get("/v1/entry-hosts", ::listEntryHosts)
        routes.post(ChatBody.PATH) { ctx -> accept(ctx, ::readChatRequest) }
        for (method in PLAIN_SERVICE_METHODS) {
            routes.addHttpHandler(method, "$SERVICES_PATH/{service}/<path>") { ctx -> accept(ctx, ::readPlainRequest) }
        }
    }

    private fun listEntryHosts(ctx: Context) = authenticator.authenticate(ctx.header("Authorization")).fold(
        { reject(ctx, it) },
        { ctx.sendJson(EntryHostList.serializer(), membership.entryHosts(it.name)) },
    )

    private fun accept(ctx: Context, read: (Context, Caller) -> Either<RelayError, IncomingRequest>) {
        val admitted = either {
            val caller = authenticator.authenticate(ctx.header("Authorization")).bind()
            caller to inFlight.tryAdmit().bind()
        }
        admitted.fold({ reject(ctx, it) }) { (caller, slot) ->
            var isStarted = false
            try {
                either { resolve(ctx, read(ctx, caller).bind()) }.fold({ reject(ctx, it) }) { request ->
                    start(ctx, request, slot)
                    isStarted = true
                }
            } finally {
                if (!isStarted) slot.close()
            }
        }
    }

    private fun start(ctx: Context, request: ResolvedRequest, slot: AutoCloseable) {
        val sink = HttpResponseSink(ctx, request.id.toString(), self.region)
        ctx.future {
            // Counted as in flight until the server has completed it, so a graceful shutdown does not interrupt it.
            val async = ctx.req().run { if (isAsyncStarted) asyncContext else startAsync() }
            async.timeout = 0
            async.addListener(CompletionListener(slot::close))
            scope.future {
                var end: AttemptEnd = internalError()
                try {
                    end = pipeline.run(request, sink)
                } finally {
                    withContext(dispatcher) { sink.finish(end) }
                }
            }
        }
    }

    private fun Raise<RelayError>.resolve(ctx: Context, incoming: IncomingRequest): ResolvedRequest {
        val manifest = ensureNotNull(manifests.current) { RelayError(ErrorKind.NOT_READY) }
        val id = RequestId(self.hostName, self.epoch, requestCounter.incrementAndGet())
        val span = tracing.startRemote("request", ctx.header("traceparent").orEmpty())
        span.put("request.id", id.toString())
        return resolver.resolve(incoming, id, manifest, span).onLeft { span.end(it.kind.id) }.bind()
    }

    private fun readChatRequest(ctx: Context, caller: Caller): Either<RelayError, IncomingRequest> = either {
        val body = bodyReader.read(ctx, largestBodyLimit()).bind()
        val chat = ChatBody.parse(body).bind()
        incomingRequest(ctx, caller, chat.model, ChatBody.PATH, body, chat)
    }

    private fun readPlainRequest(ctx: Context, caller: Caller): Either<RelayError, IncomingRequest> = either {
        val name = ctx.pathParam("service")
        val service = ensureNotNull(manifests.current?.service(name)) {
            RelayError(ErrorKind.UNKNOWN_SERVICE, "the manifest has no service $name")
        }
        val body = bodyReader.read(ctx, service.service.maxBodyBytes).bind()
        val path = ctx.req().requestURI.removePrefix(SERVICES_PATH).removePrefix("/").substringAfter('/')
        val query = ctx.queryString()?.let { "?$it" }.orEmpty()
        incomingRequest(ctx, caller, name, "/$path$query", body, null)
    }

    private fun incomingRequest(
        ctx: Context,
        caller: Caller,
        service: String,
        target: String,
        body: ByteArray,
        chat: ChatBody?,
    ): IncomingRequest = IncomingRequest(
        caller = caller,
        serviceName = service,
        kindName = ctx.header("Arbutus-Kind"),
        idempotencyKey = ctx.header("Idempotency-Key")?.takeIf(String::isNotBlank),
        method = ctx.method().name,
        target = target,
        headers = ctx.headerMap()
            .filterKeys { it.lowercase() !in UNFORWARDED_HEADERS }
            .map { HeaderField(it.key, it.value) },
        body = body,
        prompt = chat?.prompt.orEmpty(),
        maxTokens = chat?.maxTokens ?: 0,
        isChat = chat != null,
    )

    private fun largestBodyLimit(): Long =
        manifests.current?.manifest?.services?.maxOfOrNull { it.maxBodyBytes } ?: DEFAULT_MAX_BODY_BYTES

    private fun reject(ctx: Context, error: RelayError) {
        metrics.countError(error.kind)
        metrics.countOutcome(error.kind.outcome)
        ctx.problem(error)
    }

    private fun internalError(): AttemptEnd =
        AttemptEnd.Failed(RelayError(ErrorKind.INTERNAL), AttemptResult.CANCELLED, mayHaveRun = true)

    private companion object {
        private const val MAX_CONCURRENT_READS = 40
        private const val SERVICES_PATH = "/v1/services"
        private const val DEFAULT_MAX_BODY_BYTES = 1_048_576L

        // The token identifies the caller to this gateway only and must not reach backend servers or other regions.
        private val UNFORWARDED_HEADERS = setOf("authorization", "cookie", "host", "content-length", "connection")
        private val PLAIN_SERVICE_METHODS = listOf(
            HandlerType.GET,
            HandlerType.POST,
            HandlerType.PUT,
            HandlerType.PATCH,
            HandlerType.DELETE,
            HandlerType.HEAD,
        )
    }
}
