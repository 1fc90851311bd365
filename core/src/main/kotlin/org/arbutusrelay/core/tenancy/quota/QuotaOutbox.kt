package org.arbutusrelay.core.tenancy.quota

import org.arbutusrelay.schema.message.QuotaPull
import org.arbutusrelay.schema.message.QuotaReply
import org.arbutusrelay.schema.message.QuotaTransfer

/** Receives the messages that a [QuotaNode] decides to send; each names its receiver. */
public interface QuotaOutbox {
    /** Sends [reply] to the entry host [host]. */
    public fun reply(host: String, reply: QuotaReply)

    /** Sends [pull] to the state host [host]. */
    public fun pull(host: String, pull: QuotaPull)

    /** Sends [transfer] to the state host [host]. */
    public fun transfer(host: String, transfer: QuotaTransfer)
}
