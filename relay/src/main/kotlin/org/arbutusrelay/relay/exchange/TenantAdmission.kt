package org.arbutusrelay.relay.exchange

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.route.Route
import org.arbutusrelay.core.route.RouteTable
import org.arbutusrelay.core.tenancy.Tenant
import org.arbutusrelay.core.tenancy.TenantTable
import org.arbutusrelay.relay.dialect.RequestMetadata
import org.arbutusrelay.relay.dialect.RequestTenancy
import org.arbutusrelay.relay.ingress.IngressRequest

/** Tenant services of a host. */
internal class TenantServices(
    val documentProof: DocumentProof = DocumentProof.NOT_REQUIRED,
    val quotas: QuotaClient = QuotaClient.Unlimited,
)

/**
 * Finds the tenant of one request and charges its quota.
 *
 * The first host does both by the caller's key. A host to which the request is forwarded relies on the tenant that the
 * first host names. Confined to the event loop.
 */
internal class TenantAdmission(
    private val services: TenantServices,
    private val nowMs: () -> Long,
    private val request: IngressRequest,
) {
    private var chargedTokens = 0L
    private var chargedMs = 0L

    /** Tenant of the request; null on public routes, and where the document has no tenants. */
    var tenant: Tenant? = null
        private set

    /** What backend servers are told; null where the document has no tenants. */
    var tenancy: RequestTenancy? = null
        private set

    /** Returns [route] as it applies to the tenant, or the reason to refuse the request. */
    fun identify(table: RouteTable, route: Route, metadata: RequestMetadata): Either<RelayError, Route> {
        val forwardedName = ForwardHeaders.tenantOf(request.headers)?.takeIf { request.isForwarded }
        val tenants = table.tenants
        if (tenants == null && forwardedName == null) return route.right()
        tenancy = RequestTenancy(null)
        if (route.isPublic) return route.right()
        val found = if (request.isForwarded) findForwarded(tenants, forwardedName) else findByKey(tenants, metadata)
        return found.map {
            tenant = it
            tenancy = RequestTenancy(it.name)
            route.forTenant(it)
        }
    }

    /** A document that is not proven to be current may lack the key or still have it, so that neither is decided. */
    private fun findByKey(tenants: TenantTable?, metadata: RequestMetadata): Either<RelayError, Tenant> = when {
        !services.documentProof.isCurrent(nowMs()) -> unproven().left()
        else -> metadata.key?.let { tenants?.find(it) }?.right() ?: RelayError(ErrorKind.UNAUTHENTICATED).left()
    }

    private fun unproven() = RelayError(
        ErrorKind.MANIFEST_STALE,
        "the document is not proven to be the newest one",
        services.documentProof.retryAfterMs(nowMs()),
    )

    /** A host whose document lacks the tenant has an older or a newer one than the first host, and refuses. */
    private fun findForwarded(tenants: TenantTable?, name: String?): Either<RelayError, Tenant> =
        name?.let { tenants?.named(it) }?.right() ?: RelayError(ErrorKind.FORWARD_REFUSED).left()

    /** Charges the quota of the tenant and calls [onResult], possibly later, with the reason to refuse or null. */
    fun charge(metadata: RequestMetadata, onResult: (RelayError?) -> Unit) {
        val charged = tenant
        val quota = charged?.quota
        if (charged == null || quota == null || request.isForwarded) return onResult(null)
        val tokens = quota.costOf(metadata.statedTokens)
        services.quotas.acquire(charged, tokens) { result ->
            if (result is QuotaResult.Granted) {
                chargedTokens = tokens
                chargedMs = nowMs()
            }
            onResult(errorOf(result))
        }
    }

    private fun errorOf(result: QuotaResult): RelayError? = when (result) {
        QuotaResult.Granted -> null
        is QuotaResult.Exceeded -> RelayError(ErrorKind.QUOTA_EXCEEDED, retryAfterMs = result.retryAfterMs)
        QuotaResult.Unavailable -> RelayError(ErrorKind.QUOTA_UNAVAILABLE)
    }

    /**
     * Gives back what was charged; to be called when the request has certainly not run.
     *
     * Tokens that were counted long ago are not given back: the tenant could use them in addition to those of the
     * present window.
     */
    fun giveBack() {
        val charged = tenant
        if (charged == null || chargedTokens == 0L) return
        if (nowMs() - chargedMs <= MAX_RETURN_AGE_MS) services.quotas.giveBack(charged, chargedTokens)
        chargedTokens = 0
    }

    private companion object {
        /** A quarter of the shortest window in which quotas are counted, 8 s. */
        const val MAX_RETURN_AGE_MS = 2_000L
    }
}
