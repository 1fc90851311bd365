package org.arbutusrelay.ctl

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import picocli.CommandLine.Option
import java.io.IOException
import java.util.concurrent.TimeUnit

/** Options and HTTP client for operator requests to entry hosts. */
internal class OperatorOptions {
    @Option(
        names = ["--host"],
        description = ["Address of an entry host; may be repeated (default: \${DEFAULT-VALUE})."],
        defaultValue = "http://127.0.0.1:7700",
    )
    lateinit var hosts: List<String>

    @Option(
        names = ["--token"],
        description = ["Operator token (default: the environment variable ARBUTUS_OPERATOR_TOKEN)."],
        defaultValue = "\${env:ARBUTUS_OPERATOR_TOKEN:-}",
    )
    lateinit var token: String

    private val http = OkHttpClient.Builder().callTimeout(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS).build()

    /** Returns the response body of a GET from the first reachable host, or an error message. */
    fun get(path: String): Either<String, String> = callFirstReachable { Request.Builder().url(it + path).get() }

    /** Returns the response body of a POST to the first reachable host, or an error message. */
    fun post(path: String, body: String): Either<String, String> =
        callFirstReachable { Request.Builder().url(it + path).post(body.toRequestBody(TOML_TYPE)) }

    private fun callFirstReachable(request: (String) -> Request.Builder): Either<String, String> {
        val failures = mutableListOf<String>()
        for (host in hosts) {
            try {
                return callHost(request(host))
            } catch (e: IOException) {
                failures += "$host: ${e.message}"
            }
        }
        return failures.joinToString("; ", "no entry host answered: ").left()
    }

    private fun callHost(request: Request.Builder): Either<String, String> =
        http.newCall(request.header("Authorization", "Bearer $token").build()).execute().use { response ->
            val text = response.body.string()
            if (response.isSuccessful) text.right() else errorMessage(text, response.code).left()
        }

    private fun errorMessage(text: String, code: Int): String = try {
        val problem = Json.parseToJsonElement(text).jsonObject
        listOf("title", "detail").mapNotNull { (problem[it] as? JsonPrimitive)?.content }.joinToString(": ")
    } catch (_: IllegalArgumentException) {
        "HTTP status $code: $text"
    }

    private companion object {
        private val TOML_TYPE = "application/toml".toMediaType()
        private const val CALL_TIMEOUT_MS = 10_000L
    }
}
