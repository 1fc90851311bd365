package org.arbutusrelay.core.stream

/** What one state host knows of the origin of a stream. */
public data class OriginKnowledge(
    /** What the entry host that began the stream has told it; null if it was told nothing. */
    val record: StreamOrigin?,
    /** Only software version of the service by all that it has heard; see [SoftwareVersions.only]. */
    val singleVersion: String?,
)

/** What all state hosts together know of the origin of a stream. */
public sealed interface OriginVerdict {
    /** The entry host that began the stream has told a state host of [origin]. */
    public data class Recorded(val origin: StreamOrigin) : OriginVerdict

    /** No state host has a record, and each has heard of [softwareVersion] only. */
    public data class Concluded(val softwareVersion: String) : OriginVerdict

    public data object Unknown : OriginVerdict
}

/**
 * Decides where a stream began by what the state hosts know: [own] is that of one, and [others] are the other ones.
 *
 * A server announces itself to some state host before it begins a stream, so that a version that no state host has
 * heard of has begun none. What a single host has not heard shows nothing, as it may be cut off or have stood still;
 * without the reply of each, only a record counts. Not thread-safe.
 */
public class OriginSurvey(own: OriginKnowledge, others: Set<String>) {
    private val open = others.toMutableSet()
    private var record = own.record
    private var singleVersion = own.singleVersion

    /** The result, or null while replies that may change it are still due. */
    public val verdict: OriginVerdict?
        get() {
            record?.let { return OriginVerdict.Recorded(it) }
            if (open.isNotEmpty()) return null
            return singleVersion?.let { OriginVerdict.Concluded(it) } ?: OriginVerdict.Unknown
        }

    /** Adds what [hostName] replies. */
    public fun add(hostName: String, knowledge: OriginKnowledge) {
        if (!open.remove(hostName)) return
        record = record ?: knowledge.record
        if (knowledge.singleVersion != singleVersion) singleVersion = null
    }

    /** Records that [hostName] can't be asked. */
    public fun addUnreachable(hostName: String): Unit = add(hostName, OriginKnowledge(null, null))
}
