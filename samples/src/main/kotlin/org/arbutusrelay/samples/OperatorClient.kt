package org.arbutusrelay.samples

import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.util.concurrent.TimeUnit

/** HTTP client for operator requests and readiness checks. */
internal class OperatorClient(private val sample: Sample, private val network: SiteNetwork) : AutoCloseable {
    private val token = sample.hosts.first().operatorToken
    private val http = OkHttpClient.Builder().callTimeout(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS).build()

    /** Returns the sample manifest with its number set to [number]; a non-empty [note] makes the text distinct. */
    fun manifest(number: Long, note: String = ""): String =
        sample.manifestText.replace(NUMBER_LINE, "number = $number") + if (note.isEmpty()) "" else "# $note\n"

    /** Publishes [text] through a host; returns the status code, or null when the call failed. */
    fun publish(hostName: String, text: String): Int? = call(
        Request.Builder().url("${network.address(hostName)}/v1/manifest").header("Authorization", "Bearer $token")
            .post(text.toRequestBody()).build(),
    ) { it.first }

    /** Returns the manifest text in force on a host, or null when it has none or the call failed. */
    fun textInForce(hostName: String): String? = call(
        Request.Builder().url(
            "${network.address(hostName)}/v1/manifest",
        ).header("Authorization", "Bearer $token").build(),
    ) { (code, text) -> text.takeIf { code == OK } }

    /** Returns the number of the manifest in force on a host, or null when it has none or the call failed. */
    fun numberInForce(hostName: String): Long? = textInForce(hostName)?.let(::numberOf)

    /** Returns whether the readiness check of a host succeeds. */
    fun isReady(hostName: String): Boolean =
        call(Request.Builder().url("${network.address(hostName)}/readyz").build()) { it.first } == OK

    /** Returns the number of backend servers that are available on a host, or null when the call failed. */
    fun availableServerCount(hostName: String): Int? = call(
        Request.Builder().url(
            "${network.address(hostName)}/v1/backend-servers",
        ).header("Authorization", "Bearer $token")
            .build(),
    ) { (_, text) -> AVAILABLE_STATE.findAll(text).count() }

    override fun close() {
        http.dispatcher.executorService.shutdown()
        http.connectionPool.evictAll()
    }

    private fun numberOf(text: String): Long? = NUMBER_LINE.find(text)?.value?.substringAfter("= ")?.toLong()

    private fun <T> call(request: Request, read: (Pair<Int, String>) -> T?): T? = try {
        http.newCall(request).execute().use { read(it.code to it.body.string()) }
    } catch (_: IOException) {
        null
    }

    companion object {
        /** Status code of an accepted publication. */
        const val OK: Int = 200

        /** Status code of a publication whose number belongs to another manifest. */
        const val CONFLICT: Int = 409

        private const val CALL_TIMEOUT_MS = 7_000L
        private val AVAILABLE_STATE = Regex(""""state":"available"""")
        private val NUMBER_LINE = Regex("""(?m)^number = \d+""")
    }
}
