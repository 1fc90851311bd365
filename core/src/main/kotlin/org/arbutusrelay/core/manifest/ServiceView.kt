package org.arbutusrelay.core.manifest

import org.arbutusrelay.schema.manifest.RequestKind
import org.arbutusrelay.schema.manifest.Service

/** A service of the manifest with its request kinds indexed by name. */
public class ServiceView(public val service: Service, public val kinds: List<KindView>) {
    private val kindsByName: Map<String, KindView> = kinds.associateBy { it.kind.name }
    private val costMicrosByRegion: Map<String, Long> = service.costs.associate { it.region to it.costMicros }

    /** Returns the kind with the given [name], the first kind when [name] is null, or null when there is none. */
    public fun kind(name: String?): KindView? = if (name == null) kinds.firstOrNull() else kindsByName[name]

    /** Returns the cost of one second of one slot in [region], in millionths; 0 when the manifest defines none. */
    public fun costMicros(region: String): Long = costMicrosByRegion[region] ?: 0
}

/** A request kind with its waits indexed by hour. */
public class KindView(public val kind: RequestKind, public val waits: WaitTable)
