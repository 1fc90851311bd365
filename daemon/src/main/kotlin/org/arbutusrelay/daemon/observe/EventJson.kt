package org.arbutusrelay.daemon.observe

import kotlinx.serialization.json.Json

/** JSON format of log lines: unset fields are omitted, and fields written by a newer version are ignored. */
public val EVENT_JSON: Json = Json {
    encodeDefaults = false
    explicitNulls = false
    ignoreUnknownKeys = true
}
