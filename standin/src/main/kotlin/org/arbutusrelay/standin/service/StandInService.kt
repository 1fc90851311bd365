package org.arbutusrelay.standin.service

import io.javalin.Javalin
import io.javalin.http.Context
import org.arbutusrelay.standin.announce.ServerLoad
import org.arbutusrelay.standin.engine.ExpectedText
import org.arbutusrelay.standin.http.httpServer
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * A plain service for tests and demonstrations.
 *
 * Responds to every request with the digest of its body and counts the runs per body, to detect requests that ran
 * twice.
 */
public class StandInService(private val workMs: Long = 5, port: Int = 0) : AutoCloseable {
    private val running = AtomicInteger()
    private val runCounts = ConcurrentHashMap<String, AtomicLong>()
    private val server: Javalin = httpServer(port) {
        get("/<path>", ::serve)
        post("/<path>", ::serve)
        put("/<path>", ::serve)
        delete("/<path>", ::serve)
    }

    /** Base address, such as `http://127.0.0.1:9001`. */
    public val address: String get() = "http://127.0.0.1:${server.port()}"

    /** Returns the current load. */
    public fun load(): ServerLoad = ServerLoad(running.get(), 0)

    /** Returns the number of runs by request body. */
    public fun runCounts(): Map<String, Long> = runCounts.mapValues { it.value.get() }

    override fun close() {
        server.stop()
    }

    private fun serve(ctx: Context) {
        running.incrementAndGet()
        try {
            val body = ctx.body()
            val run = runCounts.computeIfAbsent(body) { AtomicLong() }.incrementAndGet()
            Thread.sleep(workMs)
            ctx.contentType("application/json").result(response(body, run))
        } finally {
            running.decrementAndGet()
        }
    }

    public companion object {
        /** Returns the response to [body] for its run with number [run]. */
        public fun response(
            body: String,
            run: Long,
        ): String = """{"digest":"${ExpectedText.digest(body)}","run":$run}"""
    }
}
