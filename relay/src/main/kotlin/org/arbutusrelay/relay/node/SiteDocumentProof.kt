package org.arbutusrelay.relay.node

import kotlinx.coroutines.CoroutineScope
import org.arbutusrelay.core.route.RoutePlan
import org.arbutusrelay.core.site.ProofSettings
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.consensus.ReplicaGroup
import org.arbutusrelay.daemon.observe.EventLog
import org.arbutusrelay.daemon.observe.RelayMetrics
import org.arbutusrelay.daemon.site.EntryProofSource
import org.arbutusrelay.daemon.site.ProofService
import org.arbutusrelay.daemon.site.ProofSource
import org.arbutusrelay.daemon.site.ReplicaProofSource
import org.arbutusrelay.daemon.site.SiteService
import org.arbutusrelay.relay.exchange.DocumentProof
import org.arbutusrelay.schema.log.EventLine
import org.arbutusrelay.schema.log.EventLine.Event
import org.arbutusrelay.schema.message.SiteState
import org.arbutusrelay.schema.settings.SiteSettings

/** The proof of one host that its document is current; created only where revocation is strict. */
internal class SiteDocumentProof private constructor(
    siteLinks: SiteLinks,
    private val clock: RelayClock,
    settings: ProofSettings,
    source: ProofSource,
    private val log: EventLog,
) : DocumentProof {
    private val service = ProofService(siteLinks.network, clock, settings, source, ::logChange)

    fun start(scope: CoroutineScope, metrics: RelayMetrics) {
        service.start(scope)
        metrics.gauge("arbutus.document.proof.age.ms") { service.ageMs(clock.nowMs()) ?: -1 }
    }

    override fun isCurrent(nowMs: Long): Boolean = service.isCurrent(nowMs)

    override fun retryAfterMs(nowMs: Long): Long = service.nextReplyInMs(nowMs)

    /**
     * Records that requests are decided by [plan] while [state] is the site state.
     *
     * Called on the event loop after the plan was replaced, because a state that was received is not yet the one by
     * which requests are decided. A document that this host cannot read is not in force, whatever its index.
     */
    fun onRoutes(plan: RoutePlan?, state: SiteState) {
        if (plan != null && plan.number == state.document?.number) service.onInstalled(state.index)
    }

    private fun logChange(isCurrent: Boolean) {
        val event = if (isCurrent) Event.DOCUMENT_PROOF_REGAINED else Event.DOCUMENT_PROOF_LOST
        val ageMs = service.ageMs(clock.nowMs())
        log.write(EventLine(event, detail = "age of the proof: $ageMs ms"))
    }

    companion object {
        /** Returns the proof of an entry host, or null where no proof is required. */
        fun ofEntryHost(
            settings: SiteSettings,
            siteLinks: SiteLinks,
            site: SiteService,
            clock: RelayClock,
            log: EventLog,
        ): SiteDocumentProof? {
            if (!settings.bounds.isRevocationStrict) return null
            val proofSettings = ProofSettings.entryHost(settings.bounds.revocationMs)
            return SiteDocumentProof(siteLinks, clock, proofSettings, EntryProofSource(site), log)
        }

        /** Returns the proof of a state host, or null where no proof is required. */
        fun ofStateHost(
            settings: SiteSettings,
            siteLinks: SiteLinks,
            site: SiteService,
            group: ReplicaGroup<SiteState>,
            clock: RelayClock,
            log: EventLog,
        ): SiteDocumentProof? {
            if (!settings.bounds.isRevocationStrict) return null
            val proofSettings = ProofSettings.stateHost(settings.bounds.revocationMs)
            val source = ReplicaProofSource(group, site, siteLinks.identity.hostName)
            return SiteDocumentProof(siteLinks, clock, proofSettings, source, log)
        }
    }
}
