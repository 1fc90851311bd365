package org.arbutusrelay.daemon.manifest

import arrow.core.Either
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.manifest.ManifestView
import org.arbutusrelay.schema.api.ManifestPublishResult
import org.arbutusrelay.schema.api.ManifestStatus

/** Gives the manifest in force and takes new ones. */
public interface ManifestService {
    /** The manifest in force, or null before this host may serve. Its number never decreases. */
    public val current: ManifestView?

    /** Text of the manifest in force, or null. */
    public val text: String?

    /** Publishes a manifest; the result is known once a majority of the voters has synced it. */
    public suspend fun publish(text: String): Either<RelayError, ManifestPublishResult>

    /** Returns the manifest number of each known host. */
    public fun status(): ManifestStatus

    /** Asks for a newer manifest and waits for one of at least [number]; false when [timeoutMs] passes before. */
    public suspend fun awaitNumber(number: Long, timeoutMs: Long): Boolean

    /** Adds a listener that is called after each change of [current]. */
    public fun addListener(listener: (ManifestView) -> Unit)
}
