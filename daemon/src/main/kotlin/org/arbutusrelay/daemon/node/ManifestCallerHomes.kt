package org.arbutusrelay.daemon.node

import org.arbutusrelay.core.ledger.CallerHome
import org.arbutusrelay.core.ledger.HomeMove
import org.arbutusrelay.core.manifest.ManifestView
import org.arbutusrelay.daemon.ledger.CallerHomes
import org.arbutusrelay.schema.manifest.Caller

/** Looks up home regions of callers in the manifest in force. */
internal class ManifestCallerHomes(private val manifest: () -> ManifestView?) : CallerHomes {
    override fun homeOf(caller: String): CallerHome? = manifest()?.caller(caller)?.toHome()

    override fun moved(): Map<String, CallerHome> = manifest()?.manifest?.callers.orEmpty()
        .filter { it.homeMoves.isNotEmpty() }
        .associate { it.name to it.toHome() }

    override fun isAllowed(service: String, region: String): Boolean =
        region in manifest()?.service(service)?.service?.regions.orEmpty()

    private fun Caller.toHome(): CallerHome =
        CallerHome(homeRegion, homeMoves.map { HomeMove(it.number, it.from, it.to) })
}
