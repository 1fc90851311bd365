package org.arbutusrelay.daemon.node

/** Why a daemon could not be started; nothing keeps running then. */
public data class StartError(
    /** Key of the settings that is concerned, such as `linkPort`. */
    val key: String,
    val message: String,
)
