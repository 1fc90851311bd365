package org.arbutusrelay.daemon.observe

import kotlinx.serialization.json.Json

/** The JSON of log lines: what is not set is left out, and fields of a newer version are passed over. */
public val EVENT_JSON: Json = Json {
    encodeDefaults = false
    explicitNulls = false
    ignoreUnknownKeys = true
}
