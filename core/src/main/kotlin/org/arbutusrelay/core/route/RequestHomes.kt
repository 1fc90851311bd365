package org.arbutusrelay.core.route

/**
 * Decides in which regions one request may run, by the homes of its route in the document in force at each send.
 *
 * A forwarded request runs in the region of this host or nowhere. This host applies its own document to it, because
 * that of the host which sent it may be older or newer. [otherRegions] returns those that are known now. Not
 * thread-safe.
 */
public class RequestHomes(
    private val selfRegion: String,
    /** True if the host of another region sent the request. */
    public val isForwarded: Boolean,
    private val otherRegions: () -> List<String>,
) {
    private var closedRegions = emptySet<String>()

    /** Returns the regions for the next send: this one first, if [route] allows it, then the others. */
    public fun regionsFor(route: Route): List<String> {
        val known = if (isForwarded) listOf(selfRegion) else listOf(selfRegion) + otherRegions()
        return known.filter { route.allowsRegion(it) && it !in closedRegions }
    }

    /** Leaves [region] out of all later sends, because its hosts do not take the request. */
    public fun close(region: String) {
        closedRegions = closedRegions + region
    }

    /** Returns true if a request that waits and may be placed in [regions] must not wait on under [route]. */
    public fun mustMove(regions: List<String>, route: Route): Boolean = !regions.all(route::allowsRegion)
}
