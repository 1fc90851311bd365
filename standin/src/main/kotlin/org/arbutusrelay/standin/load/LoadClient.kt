package org.arbutusrelay.standin.load

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.arbutusrelay.schema.settings.LoadClass
import java.io.IOException

/** Sends one request, follows the advice on resends, and compares the response with the expected one. */
internal class LoadClient(private val http: OkHttpClient, private val chooser: EntryHostChooser) {
    fun send(request: LoadRequest): LoadResult {
        val first = sendToHosts(request)
        if (!request.isResent || first.result != LoadResult.COMPLETE) return first.result
        val second = sendToHosts(request)
        return if (second.result == LoadResult.COMPLETE) LoadResult.COMPLETE else LoadResult.RESEND_DIFFERS
    }

    private fun sendToHosts(request: LoadRequest): Attempt {
        val token = request.loadClass.token
        var last = Attempt(LoadResult.UNREACHABLE, mayTryNext = true)
        for (address in chooser.addresses(token)) {
            last = sendTo(address, request)
            if (!last.mayTryNext) return last
            chooser.forget(token)
        }
        return last
    }

    private fun sendTo(address: String, request: LoadRequest): Attempt {
        var isAnswered = false
        return try {
            http.newCall(httpRequest(address, request)).execute().use { response ->
                isAnswered = true
                evaluate(request, response)
            }
        } catch (_: IOException) {
            // A request with an Idempotency-Key, or one that is idempotent, may be sent again through another host.
            Attempt(if (isAnswered) LoadResult.BROKEN else LoadResult.UNREACHABLE, mayTryNext = !isAnswered)
        }
    }

    private fun httpRequest(address: String, request: LoadRequest): Request = Request.Builder()
        .url(address + request.path)
        .header("Authorization", "Bearer ${request.loadClass.token}")
        .header("Arbutus-Kind", request.loadClass.kind)
        .apply { request.idempotencyKey?.let { header("Idempotency-Key", it) } }
        .post(request.body.toRequestBody(JSON_TYPE))
        .build()

    private fun evaluate(request: LoadRequest, response: Response): Attempt {
        val text = response.body.string()
        if (!response.isSuccessful) return refusal(response, text)
        val actual = when {
            request.loadClass.type == LoadClass.Type.PLAIN -> text
            request.isStreamed -> streamedText(text)
            else -> completeText(text)
        }
        val result = when (actual) {
            request.expectedText -> LoadResult.COMPLETE
            null -> LoadResult.BROKEN
            else -> LoadResult.WRONG
        }
        return Attempt(result, mayTryNext = false)
    }

    private fun refusal(response: Response, text: String): Attempt {
        val problem = runCatching { Json.parseToJsonElement(text).jsonObject }.getOrDefault(JsonObject(emptyMap()))
        val isNotRun = (problem["outcome"] as? JsonPrimitive)?.content == "not_run"
        val isShuttingDown = (problem["type"] as? JsonPrimitive)?.content.orEmpty().endsWith("shutting_down")
        val result = if (isNotRun) LoadResult.NOT_RUN else LoadResult.UNKNOWN
        return Attempt(result, mayTryNext = isNotRun && isShuttingDown && response.code == SERVICE_UNAVAILABLE)
    }

    private fun completeText(text: String): String? = runCatching {
        firstChoice(text).getValue("message").jsonObject.getValue("content").jsonPrimitive.content
    }.getOrNull()

    /** Returns the streamed text, or null when the stream did not end with its last event. */
    private fun streamedText(text: String): String? {
        val events = text.lineSequence().filter { it.startsWith("data: ") }.map { it.removePrefix("data: ") }.toList()
        if (events.lastOrNull() != "[DONE]") return null
        return events.dropLast(1).joinToString("") { event ->
            val delta = firstChoice(event).getValue("delta").jsonObject
            delta["content"]?.jsonPrimitive?.content.orEmpty()
        }
    }

    private fun firstChoice(text: String): JsonObject =
        Json.parseToJsonElement(text).jsonObject.getValue("choices").jsonArray.first().jsonObject

    private class Attempt(val result: LoadResult, val mayTryNext: Boolean)

    private companion object {
        private val JSON_TYPE = "application/json".toMediaType()
        private const val SERVICE_UNAVAILABLE = 503
    }
}
