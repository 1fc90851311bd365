package org.arbutusrelay.core.site

import org.arbutusrelay.core.membership.Rendezvous
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.HostState

/**
 * Keys that stand for hosts and backend servers in a pulse.
 *
 * A key is a hash, so that neither side has to assign identifiers. The key of a host covers its version, so that a
 * receiver with an older state does not recognise it and asks for a digest.
 */
internal object PulseKeys {
    private const val KEY_COUNT = 1L shl 40
    private const val VERSION_FACTOR = 31L

    fun of(host: HostState): Long = Rendezvous.bucket(
        host.hostName,
        host.epoch * VERSION_FACTOR + host.version,
        KEY_COUNT,
    )

    fun of(server: BackendServerState): Long = Rendezvous.bucket(server.name, server.incarnation, KEY_COUNT)
}
