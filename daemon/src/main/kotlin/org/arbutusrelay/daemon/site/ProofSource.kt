package org.arbutusrelay.daemon.site

import org.arbutusrelay.core.site.StateProof
import org.arbutusrelay.daemon.consensus.ReplicaGroup
import org.arbutusrelay.schema.message.SiteState

/** Where a host gets its proof from, and what it tells other hosts. */
public interface ProofSource {
    /** Returns a proof with what the replica of this host knows at the given time; null without a replica. */
    public val refresh: ((StateProof, Long) -> StateProof)?

    /** Returns the hosts to ask. */
    public fun targets(): List<String>

    /** Returns the index of the site state that this host has installed, or null if it does not answer queries. */
    public fun stateIndex(): Long?
}

/** An entry host asks the state hosts that it reports to and answers nobody. */
public class EntryProofSource(private val site: SiteService) : ProofSource {
    override val refresh: ((StateProof, Long) -> StateProof)? get() = null

    override fun targets(): List<String> = site.reportTargets

    override fun stateIndex(): Long? = null
}

/** A state host asks the leader of the log; the leader proves by the rounds that a majority has acknowledged. */
public class ReplicaProofSource(
    private val group: ReplicaGroup<SiteState>,
    private val site: SiteService,
    private val hostName: String,
) : ProofSource {
    /**
     * The applied index counts, not that of the installed state: a leader that restored a snapshot states the index of
     * an entry that changed nothing, which the other state hosts have applied but never install.
     */
    override val refresh: (StateProof, Long) -> StateProof = { proof, nowMs ->
        val known = group.confirmation()
        val ageMs = known?.ageMs
        when {
            known == null -> proof
            ageMs == null -> proof.withInstalled(known.appliedIndex)
            else -> proof.withInstalled(known.appliedIndex).withProof(nowMs - ageMs, known.appliedIndex)
        }
    }

    override fun targets(): List<String> = listOfNotNull(group.leaderName?.takeIf { it != hostName })

    override fun stateIndex(): Long = site.view.state.index
}
