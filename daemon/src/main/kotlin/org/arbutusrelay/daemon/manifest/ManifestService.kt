package org.arbutusrelay.daemon.manifest

import arrow.core.Either
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.manifest.ManifestView
import org.arbutusrelay.schema.api.ManifestPublishResult
import org.arbutusrelay.schema.api.ManifestStatus

/** Provides the manifest in force and accepts publications. */
public interface ManifestService {
    /** The manifest in force, or null until this host can serve requests. Its number never decreases. */
    public val current: ManifestView?

    /** Source text of the manifest in force, or null. */
    public val text: String?

    /** Publishes a manifest; returns once a majority of the voters has synced it to disk, or on failure. */
    public suspend fun publish(text: String): Either<RelayError, ManifestPublishResult>

    /** Returns the manifest number of each known host. */
    public fun status(): ManifestStatus

    /** Pulls a newer manifest and waits until [current] has at least [number]; returns false after [timeoutMs]. */
    public suspend fun awaitNumber(number: Long, timeoutMs: Long): Boolean

    /** Adds a listener that is called after each change of [current]. */
    public fun addListener(listener: (ManifestView) -> Unit)
}
