package org.arbutusrelay.relay.exchange

import org.arbutusrelay.core.stream.StreamOrigin

/** Knows where streams began, so that they go on at the same software version; confined to the event loop. */
internal interface StreamOrigins {
    /** Records that the first event of a stream goes to the caller's attempt [attemptId] and comes from [origin]. */
    fun record(attemptId: String, origin: StreamOrigin)

    /**
     * Finds the origin of the stream that began with [attemptId] and calls [onResult] once, with null if it is not
     * known.
     *
     * [attemptId] is null if the caller does not name it. [service] is the one that the stream would go on at if its
     * service is not known.
     */
    fun find(attemptId: String?, service: String, onResult: (StreamOrigin?) -> Unit)

    /** Backend servers state no software versions. */
    object Unversioned : StreamOrigins {
        override fun record(attemptId: String, origin: StreamOrigin): Unit = Unit

        override fun find(attemptId: String?, service: String, onResult: (StreamOrigin?) -> Unit) =
            onResult(StreamOrigin(service, ""))
    }
}
