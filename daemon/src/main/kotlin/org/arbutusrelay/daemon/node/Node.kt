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
import org.arbutusrelay.daemon.ProcessFailure
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
 * Creates and connects all components of one daemon process from its settings.
 *
 * Call [start] once, then [stop] for a graceful shutdown or [close] to stop immediately. Several nodes can run in one
 * process. [halt] terminates the process immediately with an exit code.
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
    private val state = dataFolder?.let { ReplicatedState(settings, it, network, invariants, ProcessFailure(halt)) }
    private val orderClient = BackendClient(metrics::countResponseDrop)

    @Volatile
    private var running: Components? = null

    /** Port for callers, operators and backend servers; valid after [start]. */
    public val callerPort: Int get() = checkNotNull(running) { "the node is not started" }.daemon.callerPort

    /** Port for other daemons; valid after [start]. */
    public val linkPort: Int get() = checkNotNull(running) { "the node is not started" }.linkPort

    /** True while this host serves requests. */
    public val isReady: Boolean get() = running?.daemon?.isReady == true

    /** Opens the ports, loads the replicated state and starts all components; on error, stops everything again. */
    public suspend fun start(): Either<StartError, Unit> {
        validate()?.let { return abortStart(it) }
        val linkPort = openLinkPort().fold({ return abortStart(it) }, { it })
        state?.start()?.onLeft { return abortStart(StartChecks.toStartError(it)) }
        state?.let(::registerGauges)
        val components = createComponents(linkPort)
        running = components
        try {
            components.daemon.start()
        } catch (e: IOException) {
            return abortStart(StartError("callerPort", "${settings.bindAddress}:${settings.callerPort}: ${e.message}"))
        }
        startComponents(components)
        return Unit.right()
    }

    /** Stops gracefully; returns false if requests were still in flight after the shutdown timeout. */
    public suspend fun stop(): Boolean = running?.daemon?.stop() ?: true

    /** Stops immediately. */
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

    private fun validate(): StartError? = StartChecks.settingsError(settings)
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

    private suspend fun abortStart(error: StartError): Either<StartError, Unit> {
        state?.stop()
        close()
        return error.left()
    }

    private fun createComponents(linkPort: Int): Components {
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
        val ledger = LinkLedgerClient(network, { stateHosts.inRegion(it).toList() }, ledgerService, scope)
        val suspects = RegionSuspectTracker(membership::reportSuspect, clock::nowMs)
        val scheduler = DefaultRequestScheduler({ manifests.current?.caller(it) }, invariants)
        val parts = DaemonComponents(manifests, membership, ledger, network, scheduler, suspects, ::release, scheduler)
        val daemon = Daemon(settings, parts, invariants, clock, metrics)
        return Components(linkPort, daemon, membership, manifests, ledger, ledgerService, suspects, scheduler)
    }

    private fun startComponents(components: Components) {
        val baseUrl = "http://${settings.bindAddress}"
        components.membership.updateSelf { it.copy(callerAddress = "$baseUrl:${components.daemon.callerPort}") }
        components.membership.addListener(components.suspects)
        components.ledgerService?.let { service -> components.membership.addListener(ReplacedHostListener(service)) }
        components.ledger.start()
        components.ledgerService?.start()
        components.membership.start()
        components.manifests.start()
        orderLoop(components)?.start()
        scope.launch { reportLoad(components) }
    }

    private suspend fun reportLoad(components: Components) {
        while (true) {
            val loadPermille = components.scheduler.loadPermille()
            val number = components.manifests.current?.number ?: 0
            components.membership.updateSelf { it.copy(loadPermille = loadPermille, manifestNumber = number) }
            delay(LOAD_REPORT_INTERVAL_MS)
        }
    }

    private fun selfState(linkPort: Int) = identity
        .initialState("${settings.bindAddress}:$linkPort", stateHosts.includesSelf)
        .copy(startedAtMs = System.currentTimeMillis())

    private fun manifestService(membership: LinkMembershipService): LinkManifestService {
        val regionHosts = stateHosts.inRegion(settings.region).ifEmpty { settings.manifestVoters.toSet() }
        val peers = ManifestPeers(
            settings.hostName,
            stateHosts.includesSelf,
            regionHosts,
            if (stateHosts.includesSelf) stateHosts.outsideRegion(settings.region) else emptySet(),
        )
        return LinkManifestService(
            network = network,
            membership = membership,
            peers = peers,
            voters = settings.manifestVoters,
            parser = TomlManifestParser(),
            store = manifestStore,
            voter = state?.let { replicas -> replicas.manifestGroup?.let { ManifestVoter(it, replicas.manifestLog) } },
            scope = scope,
            invariants = invariants,
        )
    }

    private fun ledgerService(manifests: LinkManifestService): LedgerService? = state?.let { replicas ->
        LedgerService(
            replicas.ledgerGroup,
            replicas.ledgerMachine,
            LedgerRules(settings.region),
            ManifestCallerHomes { manifests.current },
            network,
            scope,
        )
    }

    private fun orderLoop(components: Components): OrderLoop? = state?.let { replicas ->
        OrderLoop(
            group = replicas.ledgerGroup,
            scheduler = OrderScheduler(settings.region, invariants = invariants),
            sender = HttpOrderSender(orderClient),
            manifest = { components.manifests.current?.manifest },
            servers = components.membership::availableBackendServers,
            scope = scope,
        )
    }

    private suspend fun release() {
        state?.stop()
        scope.cancel()
        network.close()
        orderClient.close()
    }

    private class ReplacedHostListener(private val ledger: LedgerService) : MembershipListener {
        override fun onHostReplaced(hostName: String, oldEpoch: Long) = ledger.onHostReplaced(hostName, oldEpoch)
    }

    private class Components(
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
        private const val LOAD_REPORT_INTERVAL_MS = 500L
    }
}
