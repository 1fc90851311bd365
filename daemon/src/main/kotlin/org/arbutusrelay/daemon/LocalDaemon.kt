package org.arbutusrelay.daemon

import org.arbutusrelay.daemon.ledger.LocalLedgerClient
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LocalLinkNetwork
import org.arbutusrelay.daemon.manifest.LocalManifestService
import org.arbutusrelay.daemon.membership.LocalMembershipService
import org.arbutusrelay.daemon.request.LocalRequestScheduler
import org.arbutusrelay.daemon.request.LocalSuspectTracker
import org.arbutusrelay.schema.api.HostView
import org.arbutusrelay.schema.settings.DaemonSettings
import java.security.SecureRandom

/** Returns a daemon that knows no other host and keeps all state in memory. */
public fun localDaemon(settings: DaemonSettings): Daemon {
    val clock = RelayClock()
    val epoch = SecureRandom().nextLong() and Long.MAX_VALUE
    val self = HostIdentity(settings.hostName, settings.region, settings.availabilityZone, epoch)
    val manifests = LocalManifestService(self.hostName, self.region, LocalToml::manifest)
    lateinit var daemon: Daemon
    val membership = LocalMembershipService(clock, { manifests.current?.number ?: 0 }) {
        HostView(
            self.hostName, self.region, self.availabilityZone, self.epoch,
            "http://${settings.bindAddress}:${daemon.callerPort}", loadPermille = 0, isLeaving = false,
            isSuspected = false, isStateHost = false, manifestNumber = manifests.current?.number ?: 0,
        )
    }
    val parts = DaemonParts(
        manifests,
        membership,
        LocalLedgerClient(),
        LocalLinkNetwork(self),
        LocalRequestScheduler(self.region, settings.maxQueued.toInt()),
        LocalSuspectTracker(),
    )
    daemon = Daemon(settings, parts, clock)
    return daemon
}
