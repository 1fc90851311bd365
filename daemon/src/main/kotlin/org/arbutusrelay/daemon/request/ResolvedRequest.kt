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

/** A completely received request that is not yet resolved against the manifest. */
public class IncomingRequest(
    public val caller: Caller,
    public val serviceName: String,
    /** Name of the request kind; null selects the first kind of the service. */
    public val kindName: String?,
    public val idempotencyKey: String?,
    public val method: String,
    /** Path and query sent to the backend server, starting with a slash. */
    public val target: String,
    public val headers: List<HeaderField>,
    public val body: ByteArray,
    /** Prompt text; empty for plain services. */
    public val prompt: String = "",
    /** Maximum response length in tokens; 0 if the request sets no limit. */
    public val maxTokens: Int = 0,
    /** True for a chat completion, which only engines support. */
    public val isChat: Boolean = false,
)

/** A request together with the service, kind, deadline and routing profile that the manifest determines. */
public class ResolvedRequest(
    public val incoming: IncomingRequest,
    public val id: RequestId,
    manifestNumber: Long,
    public val service: ServiceView,
    public val kind: KindView,
    /** Deadline for the complete response, in milliseconds on the local monotonic clock. */
    public val deadlineMs: Long,
    public val profile: RequestProfile,
    public val span: HopSpan,
    /** Time at which this host accepted the request, in milliseconds on the local monotonic clock. */
    public val acceptedAtMs: Long,
    /** Names of the hosts that forwarded the request before it reached this one. */
    public val path: List<String> = emptyList(),
    /** True if another host holds the ledger grant for this request. */
    public val isGrantedRemotely: Boolean = false,
) {
    private val granted = AtomicBoolean(isGrantedRemotely)

    /** True once the ledger has granted this request to this host or to the host that forwarded it. */
    public val isGranted: Boolean get() = granted.get()

    public val isIdempotent: Boolean get() = kind.kind.isIdempotent

    public val isEngine: Boolean get() = service.service.type == Service.Type.ENGINE

    /** Number of the manifest against which the request was last checked. */
    @Volatile
    public var manifestNumber: Long = manifestNumber
        private set

    /**
     * Time at which an unfinished run is aborted, in milliseconds on the local monotonic clock.
     *
     * A non-idempotent run continues past the deadline, because a resend can only receive a response that was stored.
     */
    public val runDeadlineMs: Long = if (isIdempotent) deadlineMs else deadlineMs + MAX_RUN_AFTER_DEADLINE_MS

    /** Ledger key of the request; null for idempotent kinds and for requests without an idempotency key. */
    public val ledgerKey: LedgerKey? =
        incoming.idempotencyKey?.takeIf { !isIdempotent }?.let { LedgerKey(incoming.caller.name, it) }

    /** Marks the request as granted by the ledger; a non-idempotent request must not be sent before that. */
    internal fun markGranted() = granted.set(true)

    /** Records [number] as the manifest against which the request was last checked. */
    internal fun updateManifestNumber(number: Long) {
        manifestNumber = number
    }

    internal companion object {
        /** Limit for a non-idempotent run past its deadline; bounds the threads blocked by unresponsive servers. */
        const val MAX_RUN_AFTER_DEADLINE_MS: Long = 60_000
    }
}
