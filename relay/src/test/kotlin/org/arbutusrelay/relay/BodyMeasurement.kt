package org.arbutusrelay.relay

import org.arbutusrelay.relay.RelayFixture.Companion.readResponse
import org.arbutusrelay.relay.ingress.BodyAdmission
import java.io.BufferedInputStream
import java.io.IOException
import java.lang.management.ManagementFactory
import java.lang.management.MemoryType
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/**
 * Measures the heap of a host and the short requests that it serves beside callers with long bodies.
 *
 * The host runs in a process of its own, with the heap of a deployed entry host. Short requests are sent at fixed times
 * whether or not earlier ones have ended.
 */
internal object BodyMeasurement {
    private val serverAddress by lazy(::startServer)

    private class Row(val served: Int, val refused: Int, val long: String, val host: String)

    /** Prints one row for each number of callers, without and with the budget. */
    fun run(callerCounts: List<Int>) {
        println(
            "| callers | budget | short served | short refused | short without answer " +
                "| long served, refused, without answer | most heap in use, after a collection, MB |\n" +
                "|---|---|---|---|---|---|---|",
        )
        for (callers in callerCounts) {
            for (hasBudget in listOf(false, true)) {
                val row = measure(callers, hasBudget)
                val unanswered = SHORT_REQUESTS - row.served - row.refused
                println(
                    "| $callers | ${if (hasBudget) "on" else "off"} | ${row.served} of $SHORT_REQUESTS | " +
                        "${row.refused} | $unanswered | ${row.long} | ${row.host} |",
                )
            }
        }
    }

    /** Starts a backend server that reads bodies without keeping them, and returns its address. */
    private fun startServer(): String {
        val server = ServerSocket(0, 200, InetAddress.getLoopbackAddress())
        thread(isDaemon = true) {
            while (true) server.accept().let { socket -> thread(isDaemon = true) { runCatching { respond(socket) } } }
        }
        return "127.0.0.1:${server.localPort}"
    }

    private fun respond(socket: Socket) {
        val input = BufferedInputStream(socket.getInputStream())
        while (true) {
            val head = generateSequence { ScriptedServer.readLine(input)?.takeIf { it.isNotEmpty() } }.toList()
            if (head.isEmpty()) return
            fun header(name: String) =
                head.firstOrNull { it.startsWith("$name:", ignoreCase = true) }?.substringAfter(':')?.trim()
            val length = header("Content-Length")?.toLong() ?: 0
            input.skipNBytes(length)
            if (length > 1) Thread.sleep(RUN_MS)
            val response = "HTTP/1.1 200 OK\r\nAttempt: ${header("Attempt")}\r\nSignature: s\r\n" +
                "Content-Length: 2\r\n\r\nok"
            socket.getOutputStream().write(response.encodeToByteArray())
        }
    }

    private fun measure(callers: Int, hasBudget: Boolean): Row {
        val process = ProcessBuilder(
            listOf(ProcessHandle.current().info().command().orElse("java")) + HEAP_OPTIONS +
                listOf("-cp", System.getProperty("java.class.path"), HOST_MAIN, "host", "$hasBudget", serverAddress),
        ).redirectError(ProcessBuilder.Redirect.DISCARD).start()
        val output = process.inputStream.bufferedReader()
        try {
            val port = checkNotNull(output.readLine()) { "the host did not start" }.toInt()
            val longPool = Executors.newCachedThreadPool()
            val shortPool = Executors.newScheduledThreadPool(SHORT_THREADS)
            val long = List(callers) { longPool.submit(Callable { sendLong(port, it) }) }
            val short = List(SHORT_REQUESTS) {
                shortPool.schedule(
                    Callable {
                        status(port, "short-$it", "b")
                    },
                    it * SHORT_EVERY_MS,
                    TimeUnit.MILLISECONDS,
                )
            }.map { it.get() }
            val statuses = long.flatMap { it.get() }
            process.outputStream.close()
            val host = output.readLine() ?: "ended by itself"
            longPool.shutdownNow()
            shortPool.shutdownNow()
            return Row(
                short.count { it == OK },
                short.count { it == UNAVAILABLE },
                statuses.let { all ->
                    listOf(OK, UNAVAILABLE, "").joinToString { code -> "${all.count { it == code }}" }
                },
                host,
            )
        } finally {
            process.destroyForcibly().waitFor()
        }
    }

    /** Sends long bodies one after another for the time of the measurement, and returns their statuses. */
    private fun sendLong(port: Int, caller: Int): List<String> {
        val endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SHORT_REQUESTS * SHORT_EVERY_MS)
        return generateSequence(0) { it + 1 }.takeWhile { System.nanoTime() < endNs }
            .map { status(port, "long-$caller-$it", LONG_BODY) }.toList()
    }

    private fun status(port: Int, name: String, body: String): String = try {
        Socket().use { socket ->
            socket.connect(InetSocketAddress(InetAddress.getLoopbackAddress(), port))
            socket.soTimeout = MAX_WAIT_MS
            try {
                val head = "POST /safe/$name HTTP/1.1\r\nHost: a.example\r\nAttempt: $name\r\nConnection: close\r\n" +
                    "Content-Length: ${body.length}\r\n\r\n"
                socket.getOutputStream().write((head + body).encodeToByteArray())
            } catch (_: IOException) {
                // A refusal may end the connection while the body is still sent.
            }
            socket.readResponse().substringBefore('\n').split(' ').getOrElse(1) { "" }
        }
    } catch (_: IOException) {
        ""
    }

    /** Runs the host until its input ends, and prints its port and then the most heap that was in use. */
    fun runHost(hasBudget: Boolean, serverAddress: String) {
        val bodies = if (hasBudget) BodyAdmission() else BodyAdmission(totalBytes = Long.MAX_VALUE)
        val servers = mapOf("s0" to serverAddress)
        RelayFixture(
            capacity = 200,
            maxBodyBytes = LONG_BYTES,
            bodies = bodies,
            timeoutMs = 5_000,
            oddServers = servers,
        ).use {
            println(it.port)
            val pools = ManagementFactory.getMemoryPoolMXBeans().filter { pool -> pool.type == MemoryType.HEAP }
            var keptBytes = 0L
            thread(isDaemon = true) {
                while (true) {
                    keptBytes = maxOf(keptBytes, pools.sumOf { pool -> pool.collectionUsage?.used ?: 0 })
                    Thread.sleep(SAMPLE_MS)
                }
            }
            System.`in`.readAllBytes()
            val usedBytes = pools.sumOf { pool -> pool.peakUsage.used }
            println("%.0f, %.0f".format(usedBytes / BYTES_PER_MB, keptBytes / BYTES_PER_MB))
        }
    }

    private const val LONG_BYTES = 4 * 1024 * 1024
    private val LONG_BODY = "x".repeat(LONG_BYTES)
    private const val SHORT_REQUESTS = 100
    private const val SHORT_EVERY_MS = 100L
    private const val SHORT_THREADS = 100
    private const val MAX_WAIT_MS = 6_000
    private const val RUN_MS = 200L
    private const val SAMPLE_MS = 20L
    private const val BYTES_PER_MB = 1_048_576.0
    private const val OK = "200"
    private const val UNAVAILABLE = "503"
    private const val HOST_MAIN = "org.arbutusrelay.relay.BodyMeasurementKt"

    /** Those of `deploy/system.toml` that bear on memory. */
    private val HEAP_OPTIONS = listOf("-Xmx96m", "-XX:MaxDirectMemorySize=48m", "-XX:+UseSerialGC", "-Xss512k")
}

/** Runs the measurement; arguments: numbers of callers, with commas. */
fun main(args: Array<String>) {
    if (args.firstOrNull() == "host") return BodyMeasurement.runHost(args[1].toBoolean(), args[2])
    BodyMeasurement.run((args.firstOrNull() ?: "0,10,20,40,80").split(',').map(String::toInt))
}
