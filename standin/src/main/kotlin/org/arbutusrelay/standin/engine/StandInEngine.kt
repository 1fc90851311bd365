package org.arbutusrelay.standin.engine

import io.javalin.Javalin
import io.javalin.http.Context
import kotlinx.serialization.json.Json
import org.arbutusrelay.schema.api.EngineOrder
import org.arbutusrelay.schema.api.EngineOrderReply
import org.arbutusrelay.standin.announce.ServerLoad
import org.arbutusrelay.standin.http.abortConnection
import org.arbutusrelay.standin.http.httpServer
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/**
 * A model engine for tests and demonstrations.
 *
 * Serves complete and streamed chat completions, resumes and cancels streams, simulates a prefix cache, executes
 * engine orders and counts the runs of each request. A prompt with [EngineModel.crashMarker] simulates a crash.
 */
public class StandInEngine(private val model: EngineModel = EngineModel(), private val port: Int = 0) : AutoCloseable {
    private val scheduler = EngineScheduler(model)
    private val cache = PrefixCache(model.cacheBlocks)
    private val runs = ConcurrentHashMap<String, EngineRun>()
    private val runCounts = ConcurrentHashMap<String, AtomicLong>()
    private val orderExecutor = OrderExecutor(model.isFencingChecked)
    private val server: Javalin = httpServer(port) {
        post("/v1/chat/completions", ::complete)
        get("/v1/streams/{requestId}", ::resume)
        delete("/v1/streams/{requestId}", ::cancel)
        post("/v1/orders", ::executeOrder)
    }

    /** Called when a request crashes this engine; closes the engine by default. */
    @Volatile
    public var onCrash: () -> Unit = { Thread(::close, "stand-in-crash").start() }

    /** Base address, such as `http://127.0.0.1:9000`. */
    public val address: String get() = "http://127.0.0.1:${server.port()}"

    /** Returns the current load. */
    public fun load(): ServerLoad = ServerLoad(scheduler.running(), scheduler.queued(), orderExecutor.loaded())

    /** Returns the number of runs by request identifier. */
    public fun runCounts(): Map<String, Long> = runCounts.mapValues { it.value.get() }

    /** Multiplies the durations of the engine by [factor]; 1 is the normal speed. */
    public fun slowDown(factor: Double) {
        scheduler.slowdown = factor
    }

    override fun close() {
        runs.values.forEach(EngineRun::fail)
        scheduler.close()
        server.stop()
    }

    private fun complete(ctx: Context) {
        val request = JSON.decodeFromString(ChatRequest.serializer(), ctx.body())
        val requestId = ctx.header("Arbutus-Request-Id") ?: "local-${LAST_LOCAL_ID.incrementAndGet()}"
        val prompt = request.prompt()
        if (model.crashMarker in prompt) return crash(ctx, requestId)
        val run = EngineRun(requestId, ExpectedText.tokens(prompt, request.maxTokens))
        if (!scheduler.submit(run, uncachedTokens(prompt), request.priority)) return reject(ctx)
        runs[requestId] = run
        countRun(requestId)
        if (request.stream) stream(ctx, run, 0) else respond(ctx, request, run)
        runs.remove(requestId, run)
    }

    private fun uncachedTokens(prompt: String): Int {
        val words = prompt.split(' ')
        val hashes = words.chunked(model.blockTokens).filter { it.size == model.blockTokens }
            .runningFold(0L) { hash, block -> hash * BLOCK_HASH_FACTOR + block.hashCode() }.drop(1)
        return words.size - cache.lookUpAndStore(hashes) * model.blockTokens
    }

    private fun respond(ctx: Context, request: ChatRequest, run: EngineRun) {
        if (run.awaitToken(run.tokens.lastIndex) == null) return ctx.abortConnection()
        val message = """{"role":"assistant","content":${Json.encodeToString(run.tokens.joinToString(""))}}"""
        val model = Json.encodeToString(request.model)
        ctx.contentType("application/json").result(
            """{"id":"${run.requestId}","object":"chat.completion","model":$model,""" +
                """"choices":[{"index":0,"message":$message,"finish_reason":"stop"}],""" +
                """"usage":{"completion_tokens":${run.tokens.size}}}""",
        )
    }

    private fun stream(ctx: Context, run: EngineRun, firstToken: Int) {
        ctx.contentType("text/event-stream")
        val output = ctx.outputStream()
        for (index in firstToken..run.tokens.lastIndex) {
            val token = run.awaitToken(index) ?: return ctx.abortConnection()
            output.write(event(run.requestId, index, token).toByteArray())
            output.flush()
        }
        output.write("id: ${run.tokens.size}\ndata: [DONE]\n\n".toByteArray())
        output.flush()
    }

    private fun event(requestId: String, index: Int, token: String): String =
        "id: $index\ndata: {\"id\":\"$requestId\",\"object\":\"chat.completion.chunk\"," +
            "\"choices\":[{\"index\":0,\"delta\":{\"content\":${Json.encodeToString(token)}}}]}\n\n"

    private fun resume(ctx: Context) {
        val run = runs[ctx.pathParam("requestId")]
        if (run == null) {
            ctx.status(404)
        } else {
            stream(ctx, run, (ctx.header("Last-Event-ID")?.toIntOrNull() ?: -1) + 1)
        }
    }

    private fun cancel(ctx: Context) {
        runs[ctx.pathParam("requestId")]?.cancel()
        ctx.status(204)
    }

    private fun executeOrder(ctx: Context) {
        val reply = orderExecutor.execute(JSON.decodeFromString(EngineOrder.serializer(), ctx.body()))
        ctx.contentType("application/json").result(Json.encodeToString(EngineOrderReply.serializer(), reply))
    }

    private fun reject(ctx: Context) {
        ctx.status(503).header("Arbutus-Outcome", "not_run")
    }

    private fun crash(ctx: Context, requestId: String) {
        countRun(requestId)
        onCrash()
        ctx.abortConnection()
    }

    private fun countRun(requestId: String) {
        runCounts.computeIfAbsent(requestId) { AtomicLong() }.incrementAndGet()
    }

    private companion object {
        private val JSON = Json { ignoreUnknownKeys = true }
        private val LAST_LOCAL_ID = AtomicLong()
        private const val BLOCK_HASH_FACTOR = 31L
    }
}
