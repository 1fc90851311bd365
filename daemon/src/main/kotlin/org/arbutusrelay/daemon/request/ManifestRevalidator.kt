package org.arbutusrelay.daemon.request

import org.arbutusrelay.core.manifest.ManifestView
import org.arbutusrelay.daemon.manifest.ManifestService

/**
 * Rechecks a request against a newer manifest after another region rejected its manifest as stale.
 *
 * Regions apply a manifest within a second of each other. Without the recheck, a request that is forwarded during a
 * manifest change would fail although both regions allow it.
 */
public class ManifestRevalidator(private val manifests: ManifestService, private val timeoutMs: Long = 1_000) {
    /**
     * Waits for a newer manifest and returns the regions that it allows for [request].
     *
     * Returns null if none arrives in time or if the newer manifest does not define the caller, service or kind.
     */
    public suspend fun revalidate(request: ResolvedRequest): List<String>? {
        if (!manifests.awaitNumber(request.manifestNumber + 1, timeoutMs)) return null
        val manifest = manifests.current ?: return null
        val regions = allowedRegions(manifest, request) ?: return null
        request.updateManifestNumber(manifest.number)
        return regions
    }

    private fun allowedRegions(manifest: ManifestView, request: ResolvedRequest): List<String>? {
        val caller = manifest.caller(request.incoming.caller.name) ?: return null
        val service = manifest.service(request.service.service.name) ?: return null
        return service.kind(request.kind.kind.name)?.let { manifest.allowedRegions(caller, service) }
    }
}
