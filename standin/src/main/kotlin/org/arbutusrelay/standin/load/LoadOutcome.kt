package org.arbutusrelay.standin.load

import org.arbutusrelay.schema.settings.LoadClass

/** How one request of a workload ended, with all of its sendings. */
public data class LoadOutcome(
    val loadClass: LoadClass,
    /** Body that was sent. */
    val body: String,
    val result: LoadResult,
    /** Sendings to entry hosts, in their order. */
    val attempts: List<LoadAttempt>,
)

/** One sending of a request to one entry host. */
public data class LoadAttempt(
    val result: LoadResult,
    /** Base address of the entry host. */
    val address: String,
    /** Identifier that the entry host gave to the request; null when no response head arrived. */
    val requestId: String? = null,
    /** Kind of the error that the entry host reported, or null. */
    val errorKind: String? = null,
)
