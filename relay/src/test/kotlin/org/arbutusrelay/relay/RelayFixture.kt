package org.arbutusrelay.relay

import io.netty.channel.Channel
import io.netty.channel.nio.NioEventLoopGroup
import kotlinx.coroutines.runBlocking
import org.arbutusrelay.core.route.Route
import org.arbutusrelay.core.route.RouteKind
import org.arbutusrelay.core.route.RoutePlan
import org.arbutusrelay.core.route.RouteTable
import org.arbutusrelay.core.route.RouteTarget
import org.arbutusrelay.core.route.RoutedService
import org.arbutusrelay.core.routing.DefaultRequestScheduler
import org.arbutusrelay.core.routing.FirstByteServerSelector
import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.core.routing.RemoteRegion
import org.arbutusrelay.core.routing.RoutingTable
import org.arbutusrelay.core.routing.SchedulerSettings
import org.arbutusrelay.core.routing.TurnShare
import org.arbutusrelay.core.tenancy.Tenant
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.observe.EventSink
import org.arbutusrelay.daemon.site.CrashEvidenceReplica
import org.arbutusrelay.relay.backend.BackendPool
import org.arbutusrelay.relay.dialect.ReportedLoad
import org.arbutusrelay.relay.exchange.Exchange
import org.arbutusrelay.relay.exchange.ForwardTargets
import org.arbutusrelay.relay.exchange.ProfileBuilder
import org.arbutusrelay.relay.exchange.RelayContext
import org.arbutusrelay.relay.exchange.SiteServices
import org.arbutusrelay.relay.exchange.StatementListener
import org.arbutusrelay.relay.exchange.StreamOrigins
import org.arbutusrelay.relay.exchange.TenantServices
import org.arbutusrelay.relay.ingress.BodyAdmission
import org.arbutusrelay.relay.ingress.ConnectionDrain
import org.arbutusrelay.relay.ingress.IngressExchange
import org.arbutusrelay.relay.ingress.IngressHandler
import org.arbutusrelay.relay.ingress.IngressOptions
import org.arbutusrelay.relay.ingress.IngressRequest
import org.arbutusrelay.relay.ingress.IngressServer
import org.arbutusrelay.relay.ingress.IngressService
import org.arbutusrelay.relay.ingress.OpenConnections
import org.arbutusrelay.relay.ingress.PlannedStop
import org.arbutusrelay.relay.ingress.ResponseWriter
import org.arbutusrelay.relay.ingress.StopState
import org.arbutusrelay.relay.node.RequestLogListener
import org.arbutusrelay.schema.manifest.RegionLink
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.ServiceSummary
import java.io.BufferedInputStream
import java.net.BindException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.TestTimeSource

/**
 * Region of a host in tests, its own loopback address, those of the hosts of the other regions that it knows, and its
 * tenants.
 */
internal class HostPlace(
    val region: String = "hue",
    val otherRegions: Map<String, String> = mapOf("north" to RelayFixture.LOOPBACK),
    val bindAddress: String = RelayFixture.LOOPBACK,
    val port: Int? = null,
    val tenancy: HostTenancy = HostTenancy(),
    /** Software versions of the backend servers, in their order; those without one state none. */
    val softwareVersions: List<String> = emptyList(),
    val streamOrigins: StreamOrigins = StreamOrigins.Unversioned,
)

/** Tenants of the document of a host in tests, and what the host uses to admit their requests. */
internal class HostTenancy(val tenants: List<Tenant> = emptyList(), val services: TenantServices = TenantServices())

/**
 * The request path of an entry host of a region on the loopback interface, with [servers] as its backend servers.
 *
 * [log] receives the log lines about requests. If [otherRegionPort] is set, the host knows the other regions of [place]
 * with a single entry host each, by loopback address, that listens on that port. With [hasRoutes] false, it has none
 * until [applyRoutes]; [homes] are those of its first document. [oddServers] maps the names of further backend servers
 * to their addresses.
 */
internal class RelayFixture(
    private vararg val servers: ScriptedServer,
    private val log: EventSink = EventSink { },
    private val otherRegionPort: Int? = null,
    private val capacity: Long = 8,
    private val timeoutMs: Long = 2_000,
    private val targetPauseMs: Long = 0,
    isForwarded: Boolean = false,
    hasRoutes: Boolean = true,
    private val oddServers: Map<String, String> = emptyMap(),
    maxBodyBytes: Int = MAX_BODY_BYTES,
    bodies: BodyAdmission = BodyAdmission(),
    private val place: HostPlace = HostPlace(),
    homes: List<String> = emptyList(),
) : AutoCloseable {
    private val region = place.region
    private val otherRegions = place.otherRegions
    private val tenancy = place.tenancy

    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private val clock = RelayClock()

    /** Time of the crash evidence, which tests advance. */
    val evidenceTime = TestTimeSource()

    /** Crash evidence of the host. */
    val crashEvidence = CrashEvidenceReplica(RelayClock(evidenceTime))
    private val scheduler = DefaultRequestScheduler(
        callerOf = { null },
        settings = SchedulerSettings(retryPermille = 1_000),
        serverSelector = FirstByteServerSelector(),
    )
    private val context = RelayContext(
        HostIdentity(
            "host",
            region,
            "$region-a",
            1,
        ),
        clock, loop, BackendPool(loop, clock::nowMs), scheduler, TestDialect,
        ForwardTargets(otherRegionPort ?: 1), RequestLogListener(log, clock::nowMs), StopState(clock::nowMs),
        crashEvidence, Random(1), Statements(), SiteServices(tenancy.services, place.streamOrigins),
    )
    private val profiles = ProfileBuilder(region) { otherRegions.keys.toList() }

    /** Port on which the host listens. */
    val port: Int
    private val options = IngressOptions(clock::nowMs, { lagMs }, bodies) { maxBodyBytes }
    private val connections = OpenConnections()

    /** Simulated delay of the event loop, in milliseconds. */
    @Volatile
    var lagMs: Long = 0

    /** True once only requests are accepted that end before the host does. */
    val isDraining: Boolean get() = !context.stopState.mayAccept(Long.MAX_VALUE)

    /** Backend servers that have stated that they are leaving, once for each statement. */
    val leaving = CopyOnWriteArrayList<String>()

    /** Number of backend servers that have asked for a pause. */
    val pausedServers: Int get() = scheduler.pausedServers(clock.nowMs())

    /** Called with what the responses of backend servers say of their limits. */
    @Volatile
    var onLimit: (PlacedAttempt, limitPermille: Long?) -> Unit = { _, _ -> }

    val limitedServers: Int get() = scheduler.limitedServers

    /** Number of connections accepted so far. */
    val acceptedConnections = AtomicInteger()

    val queuedRequests: Int get() = scheduler.queuedRequests()

    /** Memory that buffered responses take, in bytes. */
    val bufferedBytes: Int get() = context.responseBuffers.totalBytes

    private val server = IngressServer(group, options, Service(), isForwarded)

    init {
        if (hasRoutes) applyRoutes(homes)
        startServers(incarnation = 1)
        context.forwardTargets.update(otherRegions.map { (name, address) -> host(address, name) })
        port = place.port?.also { server.start("${place.bindAddress}:$it") } ?: listenOnFreePort(place.bindAddress)
    }

    /** Returns the port; another socket may take a free one before the host listens on it, so that a few are tried. */
    private fun listenOnFreePort(bindAddress: String): Int {
        var triesLeft = MAX_PORTS
        while (true) {
            val free = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
            try {
                server.start("$bindAddress:$free")
                return free
            } catch (e: BindException) {
                if (--triesLeft == 0) throw e
            }
        }
    }

    /** Puts a document in force whose routes all have [homes]; one without routes if that is null. */
    fun applyRoutes(homes: List<String>? = emptyList(), number: Long = 1) {
        val routes = if (homes == null) emptyList() else routes(homes)
        val table =
            RouteTable(RoutePlan(number, routes, mapOf("svc" to RoutedService("svc")), tenants = tenancy.tenants))
        loop.submit { context.routes.set(table) }.sync()
    }

    private fun routes(homes: List<String>) = listOf(
        route("safe", RouteKind.IDEMPOTENT, homes),
        route("once", RouteKind.AT_MOST_ONCE, homes),
        route("stream", RouteKind.STREAM, homes),
        route("resumable", RouteKind.STREAM, homes, isResumable = true),
        route("public", RouteKind.IDEMPOTENT, homes).copy(isPublic = true),
    )

    /** Opens a caller connection. */
    fun connect(receiveBufferBytes: Int? = null): Socket = Socket().apply {
        receiveBufferBytes?.let { receiveBufferSize = it }
        connect(InetSocketAddress(InetAddress.getLoopbackAddress(), this@RelayFixture.port))
        soTimeout = TIMEOUT_MS
    }

    /** Sends one request on a new connection and returns everything received until the connection closes. */
    fun exchange(path: String, method: String = "GET", headers: String = "", body: String = ""): String =
        connect().use {
            it.send(path, method, headers + "Connection: close\r\n", body)
            String(it.getInputStream().readAllBytes())
        }

    /** Puts all backend servers in the routing table as processes with [incarnation], as after a restart. */
    fun startServers(incarnation: Long) = scheduler.updateTable(
        RoutingTable(
            region,
            "$region-a",
            serverStates(incarnation),
            otherRegions = remoteRegions(),
            sentAwayPermille = 1_000,
        ),
    )

    /** Returns the state of all backend servers as processes with [incarnation]. */
    fun serverStates(incarnation: Long = 1): List<BackendServerState> =
        servers.mapIndexed { index, server ->
            state("s$index", server.address, incarnation)
                .copy(softwareVersion = place.softwareVersions.getOrElse(index) { "" })
        } +
            oddServers.map { (name, address) -> state(name, address, incarnation) }

    /** Puts [states], built at [builtAtMs], in the routing table, with [share] for those with a limit. */
    fun applyStates(states: List<BackendServerState>, share: TurnShare, builtAtMs: Long) = scheduler.updateTable(
        RoutingTable(
            region,
            "$region-a",
            states,
            otherRegions = remoteRegions(),
            sentAwayPermille = 1_000,
            turnShare = share,
            builtAtMs = builtAtMs,
        ),
    )

    /** Time on the clock of the host. */
    fun nowMs(): Long = clock.nowMs()

    /** Removes all backend servers from the routing table, as when their leases expire. */
    fun forgetServers() = useServers(emptyMap())

    /** Replaces the backend servers in the routing table by [addresses], by name. */
    fun useServers(addresses: Map<String, String>) {
        val states = addresses.map { (name, address) -> state(name, address, incarnation = 1) }
        scheduler.updateTable(RoutingTable(region, "$region-a", states, remoteRegions(), sentAwayPermille = 1_000))
    }

    /** Replaces the entry hosts of other regions by [hosts], pairs of loopback address and region. */
    fun useEntryHosts(hosts: List<Pair<String, String>>): Unit =
        context.forwardTargets.update(hosts.map { (address, region) -> host(address, region) })

    /** Applies a document and a table of servers in one step of the event loop, as an entry host does. */
    fun applyView(homes: List<String>, number: Long, addresses: Map<String, String>) {
        val table = RouteTable(RoutePlan(number, routes(homes), mapOf("svc" to RoutedService("svc"))))
        loop.submit {
            context.routes.set(table)
            useServers(addresses)
        }.sync()
    }

    /** Puts a document in force and keeps the event loop busy for [busyMs] after [action], as when it is late. */
    fun applyRoutesLate(homes: List<String>, number: Long, busyMs: Long, action: () -> Unit) {
        val table = RouteTable(RoutePlan(number, routes(homes), mapOf("svc" to RoutedService("svc"))))
        loop.submit {
            context.routes.set(table)
            action()
            Thread.sleep(busyMs)
        }.sync()
    }

    /** Applies the time limits of requests, as an entry host does every second. */
    fun rejectSlow(headMs: Long, requestMs: Long) {
        loop.submit { connections.rejectSlow(headMs, requestMs) }.sync()
    }

    /** Stops as an entry host does, with a long quiet time for slow machines; returns true if no request was left. */
    fun stopGracefully(quietMs: Long = 1_500, graceMs: Long = 10_000): Boolean {
        val drain = ConnectionDrain(loop, connections, context.stopState, clock::nowMs, quietMs)
        val stop = PlannedStop(context.stopState, server, drain, clock::nowMs)
        return runBlocking { stop.await(0, clock.nowMs() + graceMs) { context.openExchanges } }
    }

    /** Drains the connections by a clock of the test, which runs on the event loop. */
    fun drain(quietMs: Long, endMs: Long, nowMs: () -> Long): Boolean = runBlocking {
        ConnectionDrain(loop, connections, context.stopState, nowMs, quietMs).await(endMs) { context.openExchanges }
    }

    override fun close() {
        server.stop()
        group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS)
        servers.forEach { it.close() }
    }

    private fun route(name: String, kind: RouteKind, homes: List<String>, isResumable: Boolean = false) = Route(
        name, "a.example", "/$name/", kind, timeoutMs, 300, 0, listOf(RouteTarget("svc", 1)), 2, isResumable,
        homes, targetPauseMs,
    )

    private fun remoteRegions(): Map<String, RemoteRegion> {
        if (otherRegionPort == null) return emptyMap()
        val summary = ServiceSummary("svc", 1, 8, 0, 0, 0)
        return otherRegions.mapValues { (name, _) ->
            RemoteRegion(name, RegionLink(region, name, 1, 1), mapOf("svc" to summary), 0)
        }
    }

    private fun host(address: String, region: String) =
        HostState(address, region, "$region-a", 1, 1, "$address:1", "$address:2", 0, 0, false, false)

    private fun state(name: String, address: String, incarnation: Long) = BackendServerState(
        name, "svc", region, "$region-a", address, incarnation, 1, capacity, emptyList(), emptyList(), "", 0, 0, false,
        3_000,
    )

    private inner class Statements : StatementListener {
        override fun onLoad(attempt: PlacedAttempt, load: ReportedLoad) = Unit

        override fun onLeaving(attempt: PlacedAttempt) {
            leaving += attempt.backendServer
        }

        override fun onLimit(attempt: PlacedAttempt, limitPermille: Long?) =
            this@RelayFixture.onLimit(attempt, limitPermille)
    }

    private inner class Service : IngressService {
        override val isShuttingDown: Boolean get() = context.stopState.isStopping

        override fun createExchange(request: IngressRequest, writer: ResponseWriter): IngressExchange =
            Exchange(context, profiles, request, writer)

        override fun onConnectionOpened(handler: IngressHandler, channel: Channel) {
            connections.add(handler, channel)
            acceptedConnections.incrementAndGet()
        }

        override fun onConnectionClosed(handler: IngressHandler) = connections.remove(handler)
    }

    companion object {
        const val MAX_BODY_BYTES = 1_000
        private const val MAX_PORTS = 5
        const val TIMEOUT_MS = 10_000
        const val LOOPBACK = "127.0.0.1"

        fun Socket.send(path: String, method: String = "GET", headers: String = "", body: String = "") {
            val length = if (body.isEmpty()) "" else "Content-Length: ${body.length}\r\n"
            val head = "$method $path HTTP/1.1\r\nHost: a.example\r\nAttempt: ${method + path}\r\n$headers$length\r\n"
            getOutputStream().write((head + body).encodeToByteArray())
            getOutputStream().flush()
        }

        /** Reads one response with a `Content-Length`. */
        fun Socket.readResponse(): String {
            val input = BufferedInputStream(getInputStream())
            val line = ScriptedServer.readLine(input).orEmpty()
            val headers = generateSequence { ScriptedServer.readLine(input)?.takeIf { it.isNotEmpty() } }.toList()
            val length = headers.firstOrNull { it.startsWith("content-length:", ignoreCase = true) }
                ?.substringAfter(':')?.trim()?.toInt() ?: 0
            return line + "\n" + String(input.readNBytes(length))
        }
    }
}
