package org.arbutusrelay.relay.exchange

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.route.RouteKind
import org.arbutusrelay.core.stream.StreamOrigin
import org.arbutusrelay.relay.ingress.IngressRequest

/**
 * Keeps the stream of one request at the software version that began it, over all servers that it is resumed on and all
 * attempts of its caller.
 *
 * The first host finds the version of a stream that its caller resumes, and names it to the host that it forwards the
 * request to. Confined to the event loop.
 */
internal class StreamVersion(private val origins: StreamOrigins, private val request: IngressRequest) {
    /** Version at which the stream must go on; null before its first event, or if its servers state none. */
    var required: String? = null
        private set

    /** Returns true if a server of [softwareVersion] may send events of the stream. */
    fun allows(softwareVersion: String): Boolean = required == null || required == softwareVersion

    /** Finds where the stream of [call] began and passes on the request as it may run, or the reason to refuse it. */
    fun resolve(call: ResolvedRequest, onResult: (Either<RelayError, ResolvedRequest>) -> Unit) {
        if (call.route.kind != RouteKind.STREAM) return onResult(call.right())
        if (request.isForwarded) {
            required = ForwardHeaders.softwareVersionOf(request.headers)
            return onResult(call.right())
        }
        if (call.metadata.lastEventId == null) return onResult(call.right())
        origins.find(call.metadata.resumedAttemptId, call.serviceName) { onResult(apply(it, call)) }
    }

    private fun apply(origin: StreamOrigin?, call: ResolvedRequest): Either<RelayError, ResolvedRequest> = when {
        origin == null -> RelayError(ErrorKind.STREAM_ORIGIN_UNKNOWN).left()

        call.route.targets.none { it.serviceName == origin.service } ->
            RelayError(ErrorKind.NO_BACKEND_SERVER, "the route no longer leads to ${origin.service}").left()

        else -> {
            required = origin.softwareVersion.ifEmpty { null }
            call.withService(origin.service).right()
        }
    }

    /** Records that the first event of the stream of [call], from a server of [softwareVersion], goes to the caller. */
    fun onBegun(call: ResolvedRequest, softwareVersion: String) {
        if (required != null || softwareVersion.isEmpty()) return
        required = softwareVersion
        if (request.isForwarded || call.metadata.lastEventId != null) return
        origins.record(call.metadata.attemptId, StreamOrigin(call.serviceName, softwareVersion))
    }
}
