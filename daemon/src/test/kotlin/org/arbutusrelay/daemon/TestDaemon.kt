package org.arbutusrelay.daemon

import arrow.core.right
import kotlinx.coroutines.runBlocking
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.core.routing.RequestScheduler
import org.arbutusrelay.core.routing.SchedulerView
import org.arbutusrelay.daemon.ledger.LedgerClient
import org.arbutusrelay.daemon.ledger.LocalLedgerClient
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.daemon.link.LocalLinkNetwork
import org.arbutusrelay.daemon.manifest.LocalManifestService
import org.arbutusrelay.daemon.membership.LocalMembershipService
import org.arbutusrelay.daemon.observe.Tracing
import org.arbutusrelay.daemon.request.LocalRequestScheduler
import org.arbutusrelay.daemon.request.LocalSuspectTracker
import org.arbutusrelay.schema.api.Announcement
import org.arbutusrelay.schema.api.HostView
import org.arbutusrelay.schema.manifest.Caller
import org.arbutusrelay.schema.manifest.Manifest
import org.arbutusrelay.schema.manifest.RegionEntry
import org.arbutusrelay.schema.manifest.RegionLink
import org.arbutusrelay.schema.manifest.RequestKind
import org.arbutusrelay.schema.manifest.Service
import org.arbutusrelay.schema.manifest.WaitSpan
import org.arbutusrelay.schema.settings.DaemonSettings
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.security.MessageDigest

const val TOKEN = "caller-token"

fun manifest(waitMs: Long = 20_000, number: Long = 1): Manifest {
    val waits = listOf(WaitSpan(0, 24, waitMs))
    val regions = listOf("hue", "danang")
    val digest = MessageDigest.getInstance("SHA-256").digest(TOKEN.encodeToByteArray())
    return Manifest(
        number = number,
        regions = regions.map { RegionEntry(it, listOf("$it-a")) },
        links = listOf(RegionLink("hue", "danang", 55, 1_500_000_000)),
        services = listOf(
            Service(
                "draft",
                Service.Type.ENGINE,
                "UTC",
                regions,
                maxBodyBytes = 10_000,
                kinds = listOf(RequestKind("draft", true, waits = waits)),
            ),
            Service(
                "board",
                Service.Type.PLAIN,
                "UTC",
                regions,
                maxBodyBytes = 2_000,
                kinds = listOf(RequestKind("query", true, waits = waits), RequestKind("post", false, waits = waits)),
            ),
        ),
        callers = listOf(
            Caller(
                "registry",
                "hue",
                tokenSha256 = listOf(
                    digest.joinToString("") {
                        "%02x".format(it)
                    },
                ),
            ),
        ),
    )
}

/** A daemon with in-process dependencies, reached over real sockets. */
class TestDaemon(
    waitMs: Long = 20_000,
    self: HostIdentity = HostIdentity("hue-1", "hue", "hue-a", 7),
    network: LinkNetwork = LocalLinkNetwork(self),
    ledger: LedgerClient = LocalLedgerClient(),
    scheduler: RequestScheduler = LocalRequestScheduler(self.region, 100),
    slowSenderTimeoutMs: Long = 10_000,
    maxInFlight: Long = 64,
    hasManifest: Boolean = true,
    tracing: Tracing = Tracing(self.hostName),
    schedulerView: SchedulerView = SchedulerView { _, _ -> null },
) : AutoCloseable {
    private val clock = RelayClock()
    val manifests = LocalManifestService(self.hostName, self.region) { manifest(waitMs, it.toLong()).right() }
    val membership: LocalMembershipService = LocalMembershipService(clock, { manifests.current?.number ?: 0 }) {
        HostView(
            self.hostName, self.region, self.availabilityZone, self.epoch, "http://127.0.0.1:${daemon.callerPort}", 0,
            isLeaving = false, isSuspected = false, isStateHost = false, manifestNumber = 1,
        )
    }
    val daemon: Daemon = Daemon(
        DaemonSettings(
            self.hostName, self.region, self.availabilityZone, "127.0.0.1", 0, 0, sharedSecret = "s",
            operatorToken = "operator", backendServerToken = "backend", manifestVoters = emptyList(),
            ledgerVoters = emptyList(), slowSenderTimeoutMs = slowSenderTimeoutMs, maxInFlight = maxInFlight,
        ),
        DaemonComponents(
            manifests,
            membership,
            ledger,
            network,
            scheduler,
            LocalSuspectTracker(),
            schedulerView = schedulerView,
        ),
        Invariants(),
        clock,
        tracing = tracing,
    )
    private val httpClient = HttpClient.newHttpClient()

    init {
        daemon.start()
        if (hasManifest) publish(1)
    }

    fun publish(number: Long) = runBlocking { manifests.publish(number.toString()) }

    fun announce(name: String, service: String, address: String, region: String = "hue") =
        membership.announce(Announcement(name, service, region, "$region-a", address, 1, 1, capacity = 8))

    fun send(
        method: String,
        path: String,
        body: String = "",
        vararg headers: Pair<String, String>,
    ): HttpResponse<String> {
        val publisher = HttpRequest.BodyPublishers.ofString(body)
        val request = HttpRequest.newBuilder(
            URI("http://127.0.0.1:${daemon.callerPort}$path"),
        ).method(method, publisher)
        request.header("Authorization", "Bearer $TOKEN")
        headers.forEach { (name, value) -> request.setHeader(name, value) }
        return httpClient.send(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    fun post(key: String = "k", body: String = "notice") =
        send("POST", "/v1/services/board/notices", body, "Arbutus-Kind" to "post", "Idempotency-Key" to key)

    fun query() = send("GET", "/v1/services/board/notices?from=1")

    fun chat(extra: String = "") =
        send("POST", "/v1/chat/completions", """{"model":"draft","messages":[{"role":"user","content":"hi"}]$extra}""")

    override fun close() = daemon.close()
}
