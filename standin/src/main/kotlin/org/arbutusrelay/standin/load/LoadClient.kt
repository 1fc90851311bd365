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

/**
 * Sends a request, retries it on other entry hosts where that is safe, and verifies the response.
 *
 * With [isBrokenResponseRetried], a request whose response broke off is retried on the next entry host.
 */
internal class LoadClient(
    private val http: OkHttpClient,
    private val hostSelector: EntryHostSelector,
    private val isBrokenResponseRetried: Boolean = false,
) {
    fun send(request: LoadRequest): LoadOutcome {
        val attempts = mutableListOf<LoadAttempt>()
        val firstResult = sendToHosts(request, attempts)
        val result = when {
            !request.isResent || firstResult != LoadResult.COMPLETE -> firstResult
            sendToHosts(request, attempts) == LoadResult.COMPLETE -> LoadResult.COMPLETE
            else -> LoadResult.RESEND_DIFFERS
        }
        return LoadOutcome(request.loadClass, request.body, result, attempts)
    }

    private fun sendToHosts(request: LoadRequest, attempts: MutableList<LoadAttempt>): LoadResult {
        val token = request.loadClass.token
        var lastResult = LoadResult.UNREACHABLE
        for (address in hostSelector.addresses(token)) {
            val attempt = sendTo(address, request)
            attempts += attempt
            lastResult = attempt.result
            if (!canTryNextHost(attempt)) return lastResult
            hostSelector.invalidate(token)
        }
        return lastResult
    }

    // Every request has an Idempotency-Key or is idempotent, so a retry through another host is safe.
    private fun canTryNextHost(attempt: LoadAttempt): Boolean = when (attempt.result) {
        LoadResult.UNREACHABLE -> true
        LoadResult.BROKEN -> isBrokenResponseRetried
        LoadResult.NOT_RUN -> attempt.errorKind in OTHER_HOST_ERROR_KINDS
        else -> false
    }

    private fun sendTo(address: String, request: LoadRequest): LoadAttempt {
        var requestId: String? = null
        var isResponseStarted = false
        return try {
            http.newCall(httpRequest(address, request)).execute().use { response ->
                isResponseStarted = true
                requestId = response.header("Arbutus-Request-Id")
                evaluate(address, request, response)
            }
        } catch (_: IOException) {
            LoadAttempt(if (isResponseStarted) LoadResult.BROKEN else LoadResult.UNREACHABLE, address, requestId)
        }
    }

    private fun httpRequest(address: String, request: LoadRequest): Request = Request.Builder()
        .url(address + request.path)
        .header("Authorization", "Bearer ${request.loadClass.token}")
        .header("Arbutus-Kind", request.loadClass.kind)
        .apply { request.idempotencyKey?.let { header("Idempotency-Key", it) } }
        .post(request.body.toRequestBody(JSON_TYPE))
        .build()

    private fun evaluate(address: String, request: LoadRequest, response: Response): LoadAttempt {
        val requestId = response.header("Arbutus-Request-Id")
        val text = response.body.string()
        if (!response.isSuccessful) return failedAttempt(address, requestId, text)
        val actual = when {
            request.loadClass.type == LoadClass.Type.PLAIN -> plainText(request, text)
            request.isStreamed -> streamedText(text)
            else -> completeText(text)
        }
        val result = when (actual) {
            request.expectedText -> LoadResult.COMPLETE
            null -> LoadResult.BROKEN
            else -> LoadResult.WRONG
        }
        return LoadAttempt(result, address, requestId)
    }

    private fun failedAttempt(address: String, requestId: String?, text: String): LoadAttempt {
        val problem = runCatching { Json.parseToJsonElement(text).jsonObject }.getOrDefault(JsonObject(emptyMap()))
        val isNotRun = (problem["outcome"] as? JsonPrimitive)?.content == "not_run"
        val errorKind = (problem["type"] as? JsonPrimitive)?.content?.substringAfterLast('/')
        return LoadAttempt(if (isNotRun) LoadResult.NOT_RUN else LoadResult.UNKNOWN, address, requestId, errorKind)
    }

    // An idempotent request may run more than once, so its run number is normalized before the comparison.
    private fun plainText(request: LoadRequest, text: String): String =
        if (request.loadClass.isIdempotent) text.replace(RUN_NUMBER, """"run":1""") else text

    private fun completeText(text: String): String? = runCatching {
        firstChoice(text).getValue("message").jsonObject.getValue("content").jsonPrimitive.content
    }.getOrNull()

    /** Returns the concatenated text of the stream, or null when its final event is missing. */
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

    private companion object {
        private val JSON_TYPE = "application/json".toMediaType()
        private val RUN_NUMBER = Regex(""""run":\d+""")
        private val OTHER_HOST_ERROR_KINDS = setOf("shutting_down", "not_ready")
    }
}
