package org.arbutusrelay.daemon.request

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject

/** Returns the caller's JSON body with the member `priority` set to the priority of the request kind. */
internal fun ResolvedRequest.bodyWithPriority(): ByteArray {
    val fields = Json.parseToJsonElement(incoming.body.decodeToString()).jsonObject
    return JsonObject(fields + ("priority" to JsonPrimitive(kind.kind.priority))).toString().encodeToByteArray()
}
