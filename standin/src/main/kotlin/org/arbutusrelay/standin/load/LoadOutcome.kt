package org.arbutusrelay.standin.load

import org.arbutusrelay.schema.settings.LoadClass

/** Outcome of a request of a workload, with all of its attempts. */
public data class LoadOutcome(
    val loadClass: LoadClass,
    /** Request body. */
    val body: String,
    val result: LoadResult,
    /** Attempts in the order in which they were sent. */
    val attempts: List<LoadAttempt>,
)

/** An attempt to send a request to an entry host. */
public data class LoadAttempt(
    val result: LoadResult,
    /** Base address of the entry host. */
    val address: String,
    /** Request identifier assigned by the entry host; null when no response head was received. */
    val requestId: String? = null,
    /** Error kind reported by the entry host, or null. */
    val errorKind: String? = null,
)
