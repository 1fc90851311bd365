package org.arbutusrelay.daemon.link

/**
 * The established links, at most one per peer host.
 *
 * When two hosts dial each other at the same time, both keep the connection dialled by the host with the smaller name.
 */
internal class LinkTable(private val selfName: String) {
    private val links = HashMap<String, Link>()

    /** Adds [link] and returns the links that it replaces, or null if the existing link is kept. */
    @Synchronized
    fun add(link: Link): List<Link>? {
        val existing = links[link.peer.hostName]
        // A handshake with another epoch comes from a restarted process; the process of the existing link has ended.
        val keepsExisting = existing != null && existing.peer.epoch == link.peer.epoch &&
            isPreferred(existing) && !isPreferred(link)
        if (keepsExisting) return null
        links[link.peer.hostName] = link
        return listOfNotNull(existing)
    }

    /** Removes [link]; returns false if it was already replaced. */
    @Synchronized
    fun remove(link: Link): Boolean = links.remove(link.peer.hostName, link)

    @Synchronized
    operator fun get(hostName: String): Link? = links[hostName]

    @Synchronized
    fun all(): List<Link> = links.values.toList()

    private fun isPreferred(link: Link) = link.diallerName == minOf(selfName, link.peer.hostName)
}
