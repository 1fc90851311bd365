package org.arbutusrelay.daemon.consensus

import org.arbutusrelay.schema.message.AppendReply
import org.arbutusrelay.schema.message.ConsensusMessage
import kotlin.random.Random

/**
 * Replica identities and the addresses derived from them.
 *
 * The identity of a founding replica is its host name; that of a later replica is `host#` and a random hexadecimal
 * number. A replica that may not be a voter announces itself to the address `host#?`, which is never an identity.
 */
internal object ReplicaAddress {
    fun newIdentity(hostName: String, random: Random): String = "$hostName#" + random.nextLong().toULong().toString(16)

    fun hostOf(identity: String): String = identity.substringBefore('#')

    fun announcement(group: String, identity: String, hostName: String): ConsensusMessage =
        ConsensusMessage(group, identity, "$hostName#?", 0, appendReply = AppendReply(false, 0, 0))

    fun isAnnouncement(message: ConsensusMessage): Boolean = message.to.endsWith("#?")
}
