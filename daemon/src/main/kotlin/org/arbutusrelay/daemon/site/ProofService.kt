package org.arbutusrelay.daemon.site

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.arbutusrelay.core.site.ProofSettings
import org.arbutusrelay.core.site.StateProof
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.link.FrameReceiver
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.daemon.observe.FailureGuard
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.ProofQuery
import java.util.concurrent.atomic.AtomicReference

/**
 * Keeps the proof that the site state of this host is the newest one, and answers other hosts on a state host.
 *
 * [onChange] is called with true when the proof has become current and with false when it has been lost. Thread-safe;
 * [isCurrent] takes no lock.
 */
public class ProofService(
    private val network: LinkNetwork,
    private val clock: RelayClock,
    settings: ProofSettings,
    private val source: ProofSource,
    private val onChange: (Boolean) -> Unit = {},
) : FrameReceiver {
    private val proof = AtomicReference(StateProof(settings, network.self.epoch and Long.MAX_VALUE))
    private val failures = FailureGuard("a step of the document proof")
    private var wasCurrent = false

    /** Starts to ask for proofs and to answer. */
    public fun start(scope: CoroutineScope) {
        network.addReceiver(this)
        scope.launch {
            while (true) {
                failures.run(::tick)
                delay(TICK_INTERVAL_MS)
            }
        }
    }

    /** Returns true if the state of this host was the newest one less than the allowed time before [nowMs]. */
    public fun isCurrent(nowMs: Long): Boolean = latest(nowMs).isCurrent(nowMs)

    /** Returns the age of the proof at [nowMs], or null if there has never been one. */
    public fun ageMs(nowMs: Long): Long? = latest(nowMs).ageMs(nowMs)

    /** Returns the expected time from [nowMs] to the next reply. */
    public fun nextReplyInMs(nowMs: Long): Long = proof.get().nextReplyInMs(nowMs)

    /** Records that requests are decided by the state at [stateIndex] or a newer one from now on. */
    public fun onInstalled(stateIndex: Long) {
        proof.updateAndGet { it.withInstalled(stateIndex) }
    }

    override fun onFrame(from: HostIdentity, frame: LinkFrame) {
        frame.proofQuery?.let { answer(from.hostName, it) }
        frame.proofReply?.let { reply ->
            val nowMs = clock.nowMs()
            proof.updateAndGet { it.withReply(from.hostName, reply, nowMs) }
        }
    }

    override fun onLinkUp(host: HostIdentity) {
        // All of them are asked, so that a link that breaks again and again does not postpone the other queries.
        val targets = source.targets()
        if (host.hostName in targets) ask(targets)
    }

    private fun answer(hostName: String, query: ProofQuery) {
        val nowMs = clock.nowMs()
        val current = latest(nowMs)
        // Read after the proof, so that the state is not older than the one that was proven.
        val stateIndex = source.stateIndex() ?: return
        current.answer(query, stateIndex, nowMs)?.let { network.send(hostName, LinkFrame(proofReply = it)) }
    }

    /** The time is read before the state of the log: a pause in between then makes the proof older. */
    private fun latest(nowMs: Long): StateProof {
        val refresh = source.refresh ?: return proof.get()
        return proof.updateAndGet { refresh(it, nowMs) }
    }

    private fun tick() {
        val nowMs = clock.nowMs()
        val current = latest(nowMs)
        if (current.isQueryDue(nowMs)) ask(source.targets())
        val isCurrent = current.isCurrent(nowMs)
        if (isCurrent != wasCurrent) onChange(isCurrent)
        wasCurrent = isCurrent
    }

    /** The queries are recorded before they are sent, so that no reply arrives before its query is known. */
    private fun ask(hostNames: List<String>) {
        if (hostNames.isEmpty()) return
        val nowMs = clock.nowMs()
        val asking = proof.updateAndGet { hostNames.fold(it) { next, name -> next.withQuery(name, nowMs) } }
        network.sendAll(hostNames, LinkFrame(proofQuery = asking.query(nowMs)))
    }

    private companion object {
        /** Below the shortest interval between queries, 250 ms. */
        const val TICK_INTERVAL_MS = 50L
    }
}
