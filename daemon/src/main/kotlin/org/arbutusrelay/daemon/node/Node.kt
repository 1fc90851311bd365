package org.arbutusrelay.daemon.node

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.core.ledger.LedgerRules
import org.arbutusrelay.core.manifest.ManifestPeers
import org.arbutusrelay.core.orders.OrderScheduler
import org.arbutusrelay.core.routing.DefaultRequestScheduler
import org.arbutusrelay.daemon.Daemon
import org.arbutusrelay.daemon.DaemonComponents
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.backend.BackendClient
import org.arbutusrelay.daemon.ledger.LedgerService
import org.arbutusrelay.daemon.ledger.LinkLedgerClient
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.SocketLinkNetwork
import org.arbutusrelay.daemon.manifest.FileManifestStore
import org.arbutusrelay.daemon.manifest.LinkManifestService
import org.arbutusrelay.daemon.manifest.ManifestVoter
import org.arbutusrelay.daemon.membership.LinkMembershipService
import org.arbutusrelay.daemon.membership.MembershipListener
import org.arbutusrelay.daemon.observe.RelayMetrics
import org.arbutusrelay.daemon.orders.OrderLoop
import org.arbutusrelay.schema.settings.DaemonSettings
import java.io.IOException
import java.nio.channels.UnresolvedAddressException
import java.nio.file.Path
import java.security.SecureRandom

/**
 * All parts of one daemon process, made from its settings and connected with each other.
 *
 * A node is started once with [start] and ended with [stop]; [close] ends it without the graceful part.
 * Several nodes may run in one process. [halt] ends the process with an exit code, at once.
 */
public class Node(private val settings: DaemonSettings, halt: (Int) -> Unit = { Runtime.getRuntime().halt(it) }) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val clock = RelayClock()

    /** Metrics of this process. */
    public val metrics: RelayMetrics = RelayMetrics()
    private val invariants: Invariants = processInvariants(settings.isInvariantFatal, metrics, halt)
    private val identity = HostIdentity(
        hostName = settings.hostName,
        region = settings.region,
        availabilityZone = settings.availabilityZone,
        epoch = SecureRandom().nextLong() and Long.MAX_VALUE,
    )
    private val stateHosts = StateHosts(settings)
    private val network = SocketLinkNetwork(identity, settings.sharedSecret.toByteArray(), scope)
    private val dataFolder = settings.dataFolder?.let(Path::of)
    private val manifestStore = dataFolder?.let { FileManifestStore(it.resolve("manifest")) }
    private val state = dataFolder?.let { ReplicatedState(settings, it, network, invariants) }
    private val orderClient = BackendClient(metrics::countResponseDrop)

    @Volatile
    private var running: Running? = null

    /** Port for callers, operators and backend servers; valid after [start]. */
    public val callerPort: Int get() = checkNotNull(running) { "the node is not started" }.daemon.callerPort

    /** Port for other daemons; valid after [start]. */
    public val linkPort: Int get() = checkNotNull(running) { "the node is not started" }.linkPort

    /** True when this host serves requests. */
    public val isReady: Boolean get() = running?.daemon?.isReady == true

    /** Opens the ports, loads the replicated state and starts all parts; after an error nothing keeps running. */
    public suspend fun start(): Either<StartError, Unit> {
        findError()?.let { return fail(it) }
        val linkPort = openLinkPort().fold({ return fail(it) }, { it })
        state?.start()?.onLeft { return fail(StartChecks.of(it)) }
        state?.let(::registerGauges)
        val started = connect(linkPort)
        running = started
        try {
            started.daemon.start()
        } catch (e: IOException) {
            return fail(StartError("callerPort", "${settings.bindAddress}:${settings.callerPort}: ${e.message}"))
        }
        startParts(started)
        return Unit.right()
    }

    /** Stops gracefully; returns false when requests were still in flight after the shutdown timeout. */
    public suspend fun stop(): Boolean = running?.daemon?.stop() ?: true

    /** Ends at once. */
    public fun close() {
        running?.daemon?.close()
        state?.close()
        scope.cancel()
        network.close()
        orderClient.close()
    }

    private fun registerGauges(state: ReplicatedState) {
        val groups = listOfNotNull(state.manifestGroup, state.ledgerGroup)
        metrics.gauge("arbutus.lost.voters.removed") { groups.sumOf { it.removedLostVoters } }
        metrics.gauge("arbutus.lost.voters.refused") { groups.sumOf { it.refusedLostVoters } }
    }

    private fun findError(): StartError? = StartChecks.settingsError(settings)
        ?: dataFolder?.let(StartChecks::folderError)
        ?: manifestStore?.let(StartChecks::manifestError)
        ?: state?.lostReplicaError()?.let { StartError("lostReplicas", it) }

    private suspend fun openLinkPort(): Either<StartError, Int> = try {
        network.listen(settings.bindAddress, settings.linkPort).right()
    } catch (e: IOException) {
        StartError("linkPort", "${settings.bindAddress}:${settings.linkPort}: ${e.message}").left()
    } catch (_: UnresolvedAddressException) {
        StartError("bindAddress", "${settings.bindAddress} is not an address of this host").left()
    }

    private suspend fun fail(error: StartError): Either<StartError, Unit> {
        state?.stop()
        close()
        return error.left()
    }

    private fun connect(linkPort: Int): Running {
        val membership = LinkMembershipService(
            network,
            selfState(linkPort),
            settings.peers,
            scope,
            invariants = invariants,
            predict = { service, _, _, _ -> running?.scheduler?.predictedMs(service) ?: 0 },
        )
        val manifests = manifestService(membership)
        val ledgerService = ledgerService(manifests)
        val ledger = LinkLedgerClient(network, { stateHosts.of(it).toList() }, ledgerService, scope)
        val suspects = RegionSuspectTracker(membership::reportSuspect, clock::nowMs)
        val scheduler = DefaultRequestScheduler({ manifests.current?.caller(it) }, invariants)
        val parts = DaemonComponents(manifests, membership, ledger, network, scheduler, suspects, ::drained, scheduler)
        val daemon = Daemon(settings, parts, invariants, clock, metrics)
        return Running(linkPort, daemon, membership, manifests, ledger, ledgerService, suspects, scheduler)
    }

    private fun startParts(parts: Running) {
        val scheme = "http://${settings.bindAddress}"
        parts.membership.updateSelf { it.copy(callerAddress = "$scheme:${parts.daemon.callerPort}") }
        parts.membership.addListener(parts.suspects)
        parts.ledgerService?.let { service -> parts.membership.addListener(ReplacedHosts(service)) }
        parts.ledger.start()
        parts.ledgerService?.start()
        parts.membership.start()
        parts.manifests.start()
        orderLoop(parts)?.start()
        scope.launch { reportLoad(parts) }
    }

    private suspend fun reportLoad(parts: Running) {
        while (true) {
            val loadPermille = parts.scheduler.loadPermille()
            val number = parts.manifests.current?.number ?: 0
            parts.membership.updateSelf { it.copy(loadPermille = loadPermille, manifestNumber = number) }
            delay(LOAD_PERIOD_MS)
        }
    }

    private fun selfState(linkPort: Int) = identity.firstState("${settings.bindAddress}:$linkPort", stateHosts.isSelf)
        .copy(startedAtMs = System.currentTimeMillis())

    private fun manifestService(membership: LinkMembershipService): LinkManifestService {
        val regionHosts = stateHosts.of(settings.region).ifEmpty { settings.manifestVoters.toSet() }
        val peers = ManifestPeers(
            settings.hostName,
            stateHosts.isSelf,
            regionHosts,
            if (stateHosts.isSelf) stateHosts.outside(settings.region) else emptySet(),
        )
        return LinkManifestService(
            network = network,
            membership = membership,
            peers = peers,
            voters = settings.manifestVoters,
            parser = TomlManifestParser(),
            store = manifestStore,
            voter = state?.let { owned -> owned.manifestGroup?.let { ManifestVoter(it, owned.manifestLog) } },
            scope = scope,
            invariants = invariants,
        )
    }

    private fun ledgerService(manifests: LinkManifestService): LedgerService? = state?.let { owned ->
        LedgerService(
            owned.ledgerGroup,
            owned.ledgerMachine,
            LedgerRules(settings.region),
            ManifestCallerHomes { manifests.current },
            network,
            scope,
        )
    }

    private fun orderLoop(parts: Running): OrderLoop? = state?.let { owned ->
        OrderLoop(
            group = owned.ledgerGroup,
            scheduler = OrderScheduler(settings.region, invariants = invariants),
            sender = HttpOrderSender(orderClient),
            manifest = { parts.manifests.current?.manifest },
            servers = parts.membership::availableBackendServers,
            scope = scope,
        )
    }

    private suspend fun drained() {
        state?.stop()
        scope.cancel()
        network.close()
        orderClient.close()
    }

    private class ReplacedHosts(private val ledger: LedgerService) : MembershipListener {
        override fun onHostReplaced(hostName: String, oldEpoch: Long) = ledger.onHostReplaced(hostName, oldEpoch)
    }

    private class Running(
        val linkPort: Int,
        val daemon: Daemon,
        val membership: LinkMembershipService,
        val manifests: LinkManifestService,
        val ledger: LinkLedgerClient,
        val ledgerService: LedgerService?,
        val suspects: RegionSuspectTracker,
        val scheduler: DefaultRequestScheduler,
    )

    private companion object {
        private const val LOAD_PERIOD_MS = 500L
    }
}
