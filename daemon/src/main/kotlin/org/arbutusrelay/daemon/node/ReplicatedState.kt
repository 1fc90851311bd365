package org.arbutusrelay.daemon.node

import arrow.core.Either
import arrow.core.flatMap
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.arbutusrelay.core.consensus.LostVoter
import org.arbutusrelay.core.consensus.StateMachine
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.core.ledger.LedgerStateMachine
import org.arbutusrelay.core.manifest.ManifestLog
import org.arbutusrelay.daemon.ProcessFailure
import org.arbutusrelay.daemon.consensus.ReplicaGroup
import org.arbutusrelay.daemon.consensus.ReplicaGroupOptions
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.daemon.storage.FileConsensusStorage
import org.arbutusrelay.daemon.storage.StorageError
import org.arbutusrelay.schema.settings.DaemonSettings
import java.nio.file.Path
import java.security.SecureRandom
import kotlin.random.asKotlinRandom

/** Replicas of a state host: of the group `manifest`, if it is a voter, and of the ledger group of its region. */
internal class ReplicatedState(
    private val settings: DaemonSettings,
    dataFolder: Path,
    private val network: LinkNetwork,
    private val invariants: Invariants,
    private val processFailure: ProcessFailure,
) {
    val manifestLog: ManifestLog = ManifestLog(TomlManifestParser())
    val ledgerMachine: LedgerStateMachine = LedgerStateMachine(invariants = invariants)

    val manifestGroup = if (settings.hostName in settings.manifestVoters) {
        group("manifest", dataFolder.resolve("manifest-group"), manifestLog, settings.manifestVoters, MANIFEST_OPTIONS)
    } else {
        null
    }

    val ledgerGroup = group(
        "ledger/${settings.region}",
        dataFolder.resolve("ledger-group"),
        ledgerMachine,
        settings.ledgerVoters,
        ReplicaGroupOptions(),
    )

    private val groups = listOfNotNull(manifestGroup, ledgerGroup)

    /** Returns an error if the settings name a lost replica that cannot be removed, or null. */
    fun lostReplicaError(): String? {
        val removable = listOfNotNull(
            "ledger/${settings.region}".takeIf { settings.ledgerVoters.size == 2 },
            "manifest".takeIf { manifestGroup != null && settings.manifestVoters.size == 2 },
        )
        val notRemovable = settings.lostReplicas.firstOrNull { it.group !in removable } ?: return null
        return "${notRemovable.group} is not a group of two voters that includes this host"
    }

    /** Loads all replicas and starts them. */
    fun start(): Either<StorageError, Unit> = groups.fold(Either.Right(Unit) as Either<StorageError, Unit>) {
            started,
            next,
        ->
        started.flatMap { next.start() }
    }

    /** Transfers leadership, then syncs and closes the files. */
    suspend fun stop(): Unit = coroutineScope { groups.forEach { launch { it.stop() } } }

    /** Stops all replicas immediately. */
    fun close(): Unit = groups.forEach { it.close() }

    private fun lostVoter(group: String): LostVoter? =
        settings.lostReplicas.find { it.group == group }?.let { LostVoter(it.identity, it.term) }

    private fun <R> group(
        name: String,
        folder: Path,
        machine: StateMachine<R>,
        voters: List<String>,
        options: ReplicaGroupOptions,
    ): ReplicaGroup<R> = ReplicaGroup(
        name = name,
        storage = FileConsensusStorage(folder),
        stateMachine = machine,
        network = network,
        stateHosts = { voters.toSet() },
        random = SecureRandom().asKotlinRandom(),
        foundingVoters = voters.takeIf { settings.isFounding },
        options = options.copy(lostVoter = lostVoter(name).takeIf { voters.size == 2 }),
        invariants = invariants,
        onFailure = { processFailure.onPartEnded("the replica of $name", it) },
    )

    private companion object {
        private val MANIFEST_OPTIONS = ReplicaGroupOptions(
            // A restart parses every manifest in the log, but only one manifest in a snapshot.
            snapshotEntries = 100,
            unavailableKind = ErrorKind.MANIFEST_GROUP_UNAVAILABLE,
            unknownKind = ErrorKind.MANIFEST_OUTCOME_UNKNOWN,
        )
    }
}
