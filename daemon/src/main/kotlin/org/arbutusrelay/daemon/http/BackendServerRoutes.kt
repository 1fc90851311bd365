package org.arbutusrelay.daemon.http

import arrow.core.raise.either
import arrow.core.raise.ensure
import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import kotlinx.serialization.KSerializer
import okhttp3.HttpUrl.Companion.toHttpUrlOrNull
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.routing.RequestScheduler
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.membership.MembershipService
import org.arbutusrelay.schema.api.Announcement
import org.arbutusrelay.schema.api.AnnouncementReply
import org.arbutusrelay.schema.api.CacheEvents

/** HTTP routes for backend servers; every route requires the backend server token. */
public class BackendServerRoutes(
    private val backendServerToken: String,
    private val membership: MembershipService,
    private val scheduler: RequestScheduler,
    clock: RelayClock,
    receiveTimeoutMs: Long,
) : RouteGroup {
    private val bodyReader = BodyReader(clock, receiveTimeoutMs, MAX_CONCURRENT_READS)

    override fun addTo(routes: RoutesConfig) {
        routes.post("/v1/backend-servers/announce", ::announce)
        routes.post("/v1/backend-servers/{name}/cache-events", ::recordCacheEvents)
    }

    private fun announce(ctx: Context) = either {
        val announcement = read(ctx, Announcement.serializer()).bind()
        ensure(announcement.address.toHttpUrlOrNull() != null) {
            RelayError(ErrorKind.MALFORMED_REQUEST, "address ${announcement.address} is no HTTP address")
        }
        membership.announce(announcement).bind()
    }.fold({ ctx.problem(it) }, { ctx.sendJson(AnnouncementReply.serializer(), it) })

    private fun recordCacheEvents(ctx: Context) = read(ctx, CacheEvents.serializer()).fold({ ctx.problem(it) }) {
        scheduler.recordCacheEvents(ctx.pathParam("name"), it)
        ctx.status(NO_CONTENT)
    }

    private fun <T> read(ctx: Context, serializer: KSerializer<T>) = either {
        ctx.requireToken(backendServerToken).bind()
        parseJson(serializer, bodyReader.read(ctx, MAX_BODY_BYTES).bind()).bind()
    }

    private companion object {
        private const val MAX_CONCURRENT_READS = 8
        private const val MAX_BODY_BYTES = 1L shl 20
        private const val NO_CONTENT = 204
    }
}
