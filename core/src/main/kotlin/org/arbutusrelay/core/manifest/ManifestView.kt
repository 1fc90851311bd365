package org.arbutusrelay.core.manifest

import org.arbutusrelay.schema.manifest.Caller
import org.arbutusrelay.schema.manifest.Manifest
import org.arbutusrelay.schema.manifest.RegionLink
import java.time.ZoneId

/**
 * An immutable manifest, indexed for the look-ups of request processing.
 *
 * [digest] is the SHA-256 of the manifest's text. [manifest] must have passed [ManifestValidator].
 */
public class ManifestView(public val manifest: Manifest, public val digest: String) {
    /** Number of the manifest. */
    public val number: Long = manifest.number

    private val services: Map<String, ServiceView> = manifest.services.associate { service ->
        val zone = ZoneId.of(service.timeZone)
        service.name to ServiceView(service, service.kinds.map { KindView(it, WaitTable.of(zone, it.waits)) })
    }
    private val callersByToken: Map<String, Caller> =
        manifest.callers.flatMap { caller -> caller.tokenSha256.map { it to caller } }.toMap()
    private val callersByName: Map<String, Caller> = manifest.callers.associateBy { it.name }
    private val linksByRegions: Map<Pair<String, String>, RegionLink> =
        manifest.links.flatMap { listOf((it.from to it.to) to it, (it.to to it.from) to it) }.toMap()

    /** Returns the service with the given [name], or null. */
    public fun service(name: String): ServiceView? = services[name]

    /** Returns the caller that owns the token with the given SHA-256 in lower-case hexadecimal, or null. */
    public fun callerOfToken(tokenSha256: String): Caller? = callersByToken[tokenSha256]

    /** Returns the caller with the given [name], or null. */
    public fun caller(name: String): Caller? = callersByName[name]

    /** Returns the link between two regions, or null when the manifest defines none. */
    public fun link(from: String, to: String): RegionLink? = linksByRegions[from to to]

    /** Returns the regions where a request of [caller] to [service] may be processed, the home region first. */
    public fun allowedRegions(caller: Caller, service: ServiceView): List<String> {
        val home = service.service.regions.filter { it == caller.homeRegion }
        return if (caller.isBoundToHome) home else home + (service.service.regions - caller.homeRegion)
    }
}
