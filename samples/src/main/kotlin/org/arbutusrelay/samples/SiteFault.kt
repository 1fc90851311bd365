package org.arbutusrelay.samples

/** The failures that a site run injects; each must happen at least once. */
public enum class SiteFault {
    /** A state host is ended at once and restarted with its disk. */
    STATE_HOST_ENDED,

    /** A state host is ended at once, loses its disk and starts again with an empty one. */
    DISK_LOST,

    /** A host without a disk is ended at once and restarted. */
    DISKLESS_HOST_ENDED,

    /** All links of a region are cut for some seconds and healed. */
    REGION_CUT,

    /** A manifest is accepted while a region is cut off. */
    MANIFEST_DURING_CUT,

    /** Two manifests with an equal number are published at the same time. */
    MANIFEST_RACE,

    /** A backend server announces that it leaves. */
    SERVER_LEFT,

    /** A backend server ends without notice. */
    SERVER_CRASHED,

    /** An engine becomes ten times slower. */
    SERVER_SLOWED,

    /** A request crashes the engines that run it, and its caller sends it again. */
    CRASHING_REQUEST,

    /** A host is stopped gracefully under load. */
    GRACEFUL_STOP,
}
