package org.arbutusrelay.daemon.link

/**
 * The links that are up, at most one for each host.
 *
 * When two hosts dial each other at once, both keep the connection that the host with the smaller name dialled.
 */
internal class LinkTable(private val selfName: String) {
    private val links = HashMap<String, Link>()

    /** Adds [link]; returns null when another one is kept, and otherwise the links that it replaces. */
    @Synchronized
    fun add(link: Link): List<Link>? {
        val old = links[link.peer.hostName]
        // A process that completes a handshake with another epoch is the later one: the earlier has ended.
        val isKept = old != null && old.peer.epoch == link.peer.epoch && isPreferred(old) && !isPreferred(link)
        if (isKept) return null
        links[link.peer.hostName] = link
        return listOfNotNull(old)
    }

    /** Removes [link]; false when it had been replaced. */
    @Synchronized
    fun remove(link: Link): Boolean = links.remove(link.peer.hostName, link)

    @Synchronized
    operator fun get(hostName: String): Link? = links[hostName]

    @Synchronized
    fun all(): List<Link> = links.values.toList()

    private fun isPreferred(link: Link) = link.diallerName == minOf(selfName, link.peer.hostName)
}
