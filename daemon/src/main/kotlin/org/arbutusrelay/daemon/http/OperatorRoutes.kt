package org.arbutusrelay.daemon.http

import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.future.future
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.routing.ScheduledServer
import org.arbutusrelay.core.routing.SchedulerView
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.manifest.ManifestService
import org.arbutusrelay.daemon.membership.MembershipService
import org.arbutusrelay.schema.api.BackendServerList
import org.arbutusrelay.schema.api.BackendServerView
import org.arbutusrelay.schema.api.HostList
import org.arbutusrelay.schema.api.ManifestPublishResult
import org.arbutusrelay.schema.api.ManifestStatus
import org.arbutusrelay.schema.message.BackendServerState

/** HTTP routes for operators; every route requires the operator token. */
public class OperatorRoutes(
    private val operatorToken: String,
    private val manifests: ManifestService,
    private val membership: MembershipService,
    private val scope: CoroutineScope,
    private val scheduler: SchedulerView,
    private val clock: RelayClock,
    receiveTimeoutMs: Long,
) : RouteGroup {
    private val bodyReader = BodyReader(clock, receiveTimeoutMs, MAX_CONCURRENT_READS)

    override fun addTo(routes: RoutesConfig) {
        routes.post("/v1/manifest", ::publish)
        routes.get("/v1/manifest") { ctx -> authorized(ctx) { sendManifest(ctx) } }
        routes.get("/v1/manifest/status") { ctx ->
            authorized(ctx) { ctx.sendJson(ManifestStatus.serializer(), manifests.status()) }
        }
        routes.get("/v1/hosts") { ctx -> authorized(ctx) { ctx.sendJson(HostList.serializer(), membership.hosts()) } }
        routes.get("/v1/backend-servers") { ctx -> authorized(ctx) { sendBackendServers(ctx) } }
    }

    private fun publish(ctx: Context) = authorized(ctx) {
        bodyReader.read(ctx, MAX_MANIFEST_BYTES).fold({ ctx.problem(it) }) { body ->
            ctx.future {
                scope.future { manifests.publish(body.decodeToString()) }.thenAccept { result ->
                    result.fold({ ctx.problem(it) }, { sendResult(ctx, it) })
                }
            }
        }
    }

    private fun sendResult(ctx: Context, result: ManifestPublishResult) {
        val detail = "in force: number ${result.number}, digest ${result.digest}"
        when (result.decision) {
            ManifestPublishResult.Decision.ACCEPTED -> ctx.sendJson(ManifestPublishResult.serializer(), result)

            ManifestPublishResult.Decision.DIGEST_CONFLICT ->
                ctx.problem(RelayError(ErrorKind.MANIFEST_CONFLICT, detail))

            ManifestPublishResult.Decision.STALE_NUMBER ->
                ctx.problem(RelayError(ErrorKind.MANIFEST_NUMBER_STALE, detail))
        }
    }

    private fun sendManifest(ctx: Context) {
        val text = manifests.text
        if (text == null) {
            ctx.problem(RelayError(ErrorKind.NOT_FOUND, "no manifest is in force"))
        } else {
            ctx.contentType("application/toml").result(text)
        }
    }

    private fun sendBackendServers(ctx: Context) {
        val available = membership.availableBackendServers().map { it.name }.toSet()
        val views = membership.backendServers().map {
            it.toView(it.name in available, scheduler.viewOf(it.name, clock.nowMs()))
        }
        ctx.sendJson(BackendServerList.serializer(), BackendServerList(views))
    }

    private fun BackendServerState.toView(isAvailable: Boolean, scheduled: ScheduledServer?) = BackendServerView(
        name, service, region, availabilityZone, address, incarnation, capacity, running, queued,
        scheduled?.sentSinceReport ?: 0,
        when {
            isAvailable && scheduled?.isOpen == true -> BackendServerView.State.OPEN
            isAvailable && scheduled?.isRamping == true -> BackendServerView.State.RAMPING
            isAvailable -> BackendServerView.State.AVAILABLE
            isLeaving -> BackendServerView.State.LEAVING
            else -> BackendServerView.State.LAPSED
        },
    )

    private fun authorized(ctx: Context, action: () -> Unit) {
        ctx.requireToken(operatorToken).fold({ ctx.problem(it) }, { action() })
    }

    private companion object {
        private const val MAX_CONCURRENT_READS = 8
        private const val MAX_MANIFEST_BYTES = 8L shl 20
    }
}
