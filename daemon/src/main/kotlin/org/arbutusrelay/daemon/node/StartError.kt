package org.arbutusrelay.daemon.node

/** Describes why a daemon could not be started; no component of it keeps running. */
public data class StartError(
    /** Settings key that the error refers to, such as `linkPort`. */
    val key: String,
    val message: String,
)
