package org.arbutusrelay.daemon.request

import org.arbutusrelay.core.manifest.ManifestView
import org.arbutusrelay.daemon.manifest.ManifestService

/**
 * Checks a request against a newer manifest after another region refused the one that it was decided by.
 *
 * Regions apply a manifest within a second of each other, so without this a request that is sent away during a change
 * would be refused although both regions allow it.
 */
public class ManifestRevalidator(private val manifests: ManifestService, private val timeoutMs: Long = 1_000) {
    /**
     * Waits for a newer manifest and returns the regions that it allows for [request].
     *
     * Returns null when none arrives in time, or when the newer one does not know the caller, service or kind.
     */
    public suspend fun renew(request: ResolvedRequest): List<String>? {
        if (!manifests.awaitNumber(request.manifestNumber + 1, timeoutMs)) return null
        val manifest = manifests.current ?: return null
        val regions = allowedRegions(manifest, request) ?: return null
        request.renewManifest(manifest.number)
        return regions
    }

    private fun allowedRegions(manifest: ManifestView, request: ResolvedRequest): List<String>? {
        val caller = manifest.caller(request.incoming.caller.name) ?: return null
        val service = manifest.service(request.service.service.name) ?: return null
        return service.kind(request.kind.kind.name)?.let { manifest.allowedRegions(caller, service) }
    }
}
