package org.arbutusrelay.core.manifest

import org.arbutusrelay.schema.manifest.Caller
import org.arbutusrelay.schema.manifest.Manifest
import org.arbutusrelay.schema.manifest.Service
import java.time.DateTimeException
import java.time.ZoneId

/** Checks the constraints of a manifest that its schema cannot express. */
public object ManifestValidator {
    /** Returns all errors of [manifest], each with the path of the value; empty when it is valid. */
    public fun errors(manifest: Manifest): List<ManifestError> {
        val regions = manifest.regions.map { it.name }.toSet()
        return buildList {
            addAll(duplicates("regions", manifest.regions.map { it.name }))
            addAll(duplicates("services", manifest.services.map { it.name }))
            addAll(duplicates("callers", manifest.callers.map { it.name }))
            addAll(duplicates("callers.tokenSha256", manifest.callers.flatMap { it.tokenSha256 }))
            manifest.services.forEach { addAll(serviceErrors(it, regions)) }
            manifest.callers.forEach { addAll(callerErrors(it, regions) + moveErrors(it, manifest.number, regions)) }
            manifest.links.forEach { link ->
                val path = "links[${link.from}-${link.to}]"
                listOf(link.from, link.to).filter { it !in regions }.forEach { add(unknownRegion(path, it)) }
            }
        }
    }

    private fun serviceErrors(service: Service, regions: Set<String>): List<ManifestError> = buildList {
        val path = "services[${service.name}]"
        if (!isTimeZone(service.timeZone)) add(ManifestError("$path.timeZone", "unknown time zone ${service.timeZone}"))
        if (service.regions.isEmpty()) add(ManifestError("$path.regions", "a service needs at least one region"))
        if (service.kinds.isEmpty()) add(ManifestError("$path.kinds", "a service needs at least one request kind"))
        val referencedRegions = service.regions + service.costs.map { it.region } + service.placement.map { it.region }
        referencedRegions.filter { it !in regions }.distinct().forEach { add(unknownRegion(path, it)) }
        addAll(duplicates("$path.kinds", service.kinds.map { it.name }))
        service.kinds.forEach { kind ->
            WaitTable.coverageError(kind.waits)?.let { add(ManifestError("$path.kinds[${kind.name}].waits", it)) }
        }
    }

    private fun callerErrors(caller: Caller, regions: Set<String>): List<ManifestError> = buildList {
        val path = "callers[${caller.name}]"
        if (caller.homeRegion !in regions) add(unknownRegion("$path.homeRegion", caller.homeRegion))
        caller.tokenSha256.filterNot(SHA256_HEX::matches).forEach {
            add(ManifestError("$path.tokenSha256", "not a SHA-256 in lower-case hexadecimal: $it"))
        }
    }

    private fun moveErrors(caller: Caller, number: Long, regions: Set<String>): List<ManifestError> = buildList {
        val path = "callers[${caller.name}].homeMoves"
        val moves = caller.homeMoves
        moves.flatMap {
            listOf(it.from, it.to)
        }.filter { it !in regions }.distinct().forEach { add(unknownRegion(path, it)) }
        moves.filter {
            it.number > number
        }.forEach { add(ManifestError(path, "manifest ${it.number} is not published yet")) }
        moves.filter { it.from == it.to }.forEach { add(ManifestError(path, "manifest ${it.number} moves nothing")) }
        val isChain = moves.zipWithNext().all { (a, b) -> a.to == b.from && a.number < b.number }
        if (!isChain) {
            add(
                ManifestError(path, "each move must start where the one before it ended, with a higher number"),
            )
        }
        val end = moves.lastOrNull()?.to ?: caller.homeRegion
        if (end != caller.homeRegion) add(ManifestError(path, "the moves end at $end and not at ${caller.homeRegion}"))
    }

    private fun duplicates(path: String, names: List<String>): List<ManifestError> =
        names.groupingBy { it }.eachCount().filterValues { it > 1 }.keys.map { ManifestError(path, "$it stands twice") }

    private fun unknownRegion(path: String, region: String) = ManifestError(path, "unknown region $region")

    private fun isTimeZone(name: String): Boolean = try {
        ZoneId.of(name)
        true
    } catch (_: DateTimeException) {
        false
    }

    private val SHA256_HEX = Regex("[0-9a-f]{64}")
}

/** An error of a manifest: its location and description. */
public data class ManifestError(
    /** Path of the value, such as `services[drafting].timeZone`. */
    public val path: String,
    public val message: String,
)
