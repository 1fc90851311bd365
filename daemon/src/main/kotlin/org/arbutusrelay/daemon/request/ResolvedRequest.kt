package org.arbutusrelay.daemon.request

import org.arbutusrelay.core.manifest.KindView
import org.arbutusrelay.core.manifest.ServiceView
import org.arbutusrelay.core.request.RequestId
import org.arbutusrelay.core.routing.RequestProfile
import org.arbutusrelay.daemon.observe.HopSpan
import org.arbutusrelay.schema.manifest.Caller
import org.arbutusrelay.schema.manifest.Service
import org.arbutusrelay.schema.message.HeaderField
import org.arbutusrelay.schema.message.LedgerKey
import java.util.concurrent.atomic.AtomicBoolean

/** A request as it arrived: received completely, not yet resolved. */
public class IncomingRequest(
    public val caller: Caller,
    public val serviceName: String,
    /** Null selects the service's first kind. */
    public val kindName: String?,
    public val idempotencyKey: String?,
    public val method: String,
    /** Path and query for the backend server, beginning with a slash. */
    public val target: String,
    public val headers: List<HeaderField>,
    public val body: ByteArray,
    /** Text of the prompt; empty for plain services. */
    public val prompt: String = "",
    /** Longest response in tokens that the request allows; 0 when it names none. */
    public val maxTokens: Int = 0,
    /** True for a chat completion, which only engines run. */
    public val isChat: Boolean = false,
)

/** A request with everything that the manifest decides about it. */
public class ResolvedRequest(
    public val incoming: IncomingRequest,
    public val id: RequestId,
    manifestNumber: Long,
    public val service: ServiceView,
    public val kind: KindView,
    /** When the response must be complete, on the local monotonic clock, in milliseconds. */
    public val deadlineMs: Long,
    public val profile: RequestProfile,
    public val span: HopSpan,
    /** Acceptance on the local monotonic clock, in milliseconds. */
    public val acceptedAtMs: Long,
    /** Hosts that the request has passed before this one. */
    public val path: List<String> = emptyList(),
    /** True when another host holds the ledger grant of this request. */
    public val isGrantedElsewhere: Boolean = false,
) {
    private val granted = AtomicBoolean(isGrantedElsewhere)

    /** True once the ledger has granted this request, here or at the host that forwarded it. */
    public val isGranted: Boolean get() = granted.get()

    public val isIdempotent: Boolean get() = kind.kind.isIdempotent

    public val isEngine: Boolean get() = service.service.type == Service.Type.ENGINE

    /** Manifest that the request was last checked against. */
    @Volatile
    public var manifestNumber: Long = manifestNumber
        private set

    /**
     * When a run is given up, on the local monotonic clock, in milliseconds.
     *
     * A non-idempotent run goes on after the deadline, because a resend can only get its response if it is stored.
     */
    public val runUntilMs: Long = if (isIdempotent) deadlineMs else deadlineMs + LATE_RUN_MS

    /** Key of the request in the ledger; null for idempotent kinds. */
    public val ledgerKey: LedgerKey? =
        incoming.idempotencyKey?.takeIf { !isIdempotent }?.let { LedgerKey(incoming.caller.name, it) }

    /** Records the ledger's grant; a non-idempotent request is sent only after this. */
    internal fun markGranted() = granted.set(true)

    /** Records that a newer manifest still allows the request. */
    internal fun renewManifest(number: Long) {
        manifestNumber = number
    }

    internal companion object {
        /** How long a non-idempotent run may outlast its deadline; bounds the threads that hanging servers hold. */
        const val LATE_RUN_MS: Long = 60_000
    }
}
