package org.arbutusrelay.daemon.site

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.arbutusrelay.core.route.RoutePlanParser
import org.arbutusrelay.core.tenancy.TenantTable
import org.arbutusrelay.core.tenancy.quota.QuotaNode
import org.arbutusrelay.core.tenancy.quota.QuotaOutbox
import org.arbutusrelay.core.tenancy.quota.QuotaSite
import org.arbutusrelay.daemon.link.FrameReceiver
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.daemon.observe.FailureGuard
import org.arbutusrelay.daemon.observe.QuotaMetrics
import org.arbutusrelay.schema.message.DocumentRecord
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.QuotaPull
import org.arbutusrelay.schema.message.QuotaReply
import org.arbutusrelay.schema.message.QuotaTransfer

/**
 * Answers entry hosts that ask for tokens of the quotas of tenants, and moves tokens between state hosts.
 *
 * Without a current proof of the document ([isCurrent]) it grants nothing. Thread-safe.
 */
public class QuotaService(
    private val network: LinkNetwork,
    private val parser: RoutePlanParser,
    private val metrics: QuotaMetrics,
    private val nowMs: () -> Long,
    /** Returns the document in force. */
    private val document: () -> DocumentRecord?,
    /** Returns the host names of the voters of the replicated log. */
    private val voters: () -> Set<String>,
    private val isCurrent: () -> Boolean = { true },
) : FrameReceiver {
    private val node = QuotaNode(network.self.hostName, Outbox())
    private val failures = FailureGuard("a step of the quota service")
    private var parsedDocument: DocumentRecord? = null
    private var tenants: TenantTable? = null

    /** Starts to receive frames. */
    public fun start(scope: CoroutineScope) {
        network.addReceiver(this)
        scope.launch {
            while (true) {
                failures.run(::tick)
                delay(if (hasQuotas()) TICK_MS else IDLE_TICK_MS)
            }
        }
    }

    /** Applies the document and the voters, and decides on requests that wait for peers. */
    internal fun tick(): Unit = synchronized(node) {
        parse(document())
        val connected = network.connected().keys - network.self.hostName
        node.tick(QuotaSite(tenants, voters(), connected, isCurrent()), nowMs())
        metrics.record(node.levels, node.currentShare)
    }

    override fun onFrame(from: HostIdentity, frame: LinkFrame) {
        val isQuota = frame.quotaRequest != null || frame.quotaReturn != null ||
            frame.quotaPull != null || frame.quotaTransfer != null
        if (!isQuota) return
        synchronized(node) {
            frame.quotaRequest?.let { node.onRequest(from.hostName, it, nowMs()) }
            frame.quotaReturn?.let { node.onReturn(from.hostName, from.epoch, it, nowMs()) }
            frame.quotaPull?.let { node.onPull(from.hostName, it, nowMs()) }
            frame.quotaTransfer?.let { node.onTransfer(from.hostName, it, nowMs()) }
        }
    }

    private fun hasQuotas(): Boolean = synchronized(node) { node.hasQuotas }

    /** Parses each document once; one that cannot be read leaves the quotas as they are, as entry hosts do. */
    private fun parse(newest: DocumentRecord?) {
        if (newest == null || newest === parsedDocument) return
        parsedDocument = newest
        parser.parse(newest.content).onRight { tenants = TenantTable(it.tenants) }
    }

    private inner class Outbox : QuotaOutbox {
        override fun reply(host: String, reply: QuotaReply) {
            network.send(host, LinkFrame(quotaReply = reply))
        }

        override fun pull(host: String, pull: QuotaPull) {
            network.send(host, LinkFrame(quotaPull = pull))
        }

        override fun transfer(host: String, transfer: QuotaTransfer) {
            network.send(host, LinkFrame(quotaTransfer = transfer))
        }
    }

    private companion object {
        /** Part of the 25 ms between the time that a request is held and the time for which the entry host waits. */
        const val TICK_MS = 10L

        /** A document with the first quotas is applied within this time. */
        const val IDLE_TICK_MS = 250L
    }
}
