package org.arbutusrelay.samples

/** Failures that a site run injects; each must occur at least once. */
public enum class SiteFault {
    /** A state host is killed and restarted with its disk. */
    STATE_HOST_ENDED,

    /** A state host is killed, loses its disk and restarts with an empty one. */
    DISK_LOST,

    /** A host without a disk is killed and restarted. */
    DISKLESS_HOST_ENDED,

    /** All links of a region are disconnected for some seconds and then restored. */
    REGION_CUT,

    /** A manifest is accepted while a region is disconnected. */
    MANIFEST_DURING_CUT,

    /** Two manifests with the same number are published concurrently. */
    MANIFEST_RACE,

    /** A backend server announces its departure. */
    SERVER_LEFT,

    /** A backend server stops without announcing its departure. */
    SERVER_CRASHED,

    /** An engine becomes ten times slower. */
    SERVER_SLOWED,

    /** A request crashes the engines that run it, and its caller resends it. */
    CRASHING_REQUEST,

    /** A host is stopped gracefully under load. */
    GRACEFUL_STOP,
}
