package org.arbutusrelay.samples

import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.util.concurrent.TimeUnit

/** Publishes manifests and reads them back, as operators do. */
internal class SiteOperator(private val sample: Sample, private val ports: SitePorts) : AutoCloseable {
    private val token = sample.hosts.first().operatorToken
    private val http = OkHttpClient.Builder().callTimeout(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS).build()

    /** Returns the manifest of the sample with another [number]; [note] makes the text differ. */
    fun manifest(number: Long, note: String = ""): String =
        sample.manifestText.replace(NUMBER, "number = $number") + if (note.isEmpty()) "" else "# $note\n"

    /** Publishes [text] through a host; returns the status code, or null when the host did not answer. */
    fun publish(hostName: String, text: String): Int? = call(
        Request.Builder().url("${ports.address(hostName)}/v1/manifest").header("Authorization", "Bearer $token")
            .post(text.toRequestBody()).build(),
    ) { it.first }

    /** Returns the manifest text in force on a host, or null when it has none or does not answer. */
    fun textInForce(hostName: String): String? = call(
        Request.Builder().url(
            "${ports.address(hostName)}/v1/manifest",
        ).header("Authorization", "Bearer $token").build(),
    ) { (code, text) -> text.takeIf { code == OK } }

    /** Returns the number of the manifest in force on a host, or null when it has none or does not answer. */
    fun numberInForce(hostName: String): Long? = textInForce(hostName)?.let(::numberOf)

    /** True when a host serves requests. */
    fun isReady(hostName: String): Boolean =
        call(Request.Builder().url("${ports.address(hostName)}/readyz").build()) { it.first } == OK

    /** Returns how many backend servers a host may send work to, or null when it does not answer. */
    fun availableServers(hostName: String): Int? = call(
        Request.Builder().url("${ports.address(hostName)}/v1/backend-servers").header("Authorization", "Bearer $token")
            .build(),
    ) { (_, text) -> AVAILABLE.findAll(text).count() }

    override fun close() {
        http.dispatcher.executorService.shutdown()
        http.connectionPool.evictAll()
    }

    private fun numberOf(text: String): Long? = NUMBER.find(text)?.value?.substringAfter("= ")?.toLong()

    private fun <T> call(request: Request, read: (Pair<Int, String>) -> T?): T? = try {
        http.newCall(request).execute().use { read(it.code to it.body.string()) }
    } catch (_: IOException) {
        null
    }

    companion object {
        /** Status code of an accepted publication. */
        const val OK: Int = 200

        /** Status code of a publication whose number is taken. */
        const val CONFLICT: Int = 409

        private const val CALL_TIMEOUT_MS = 7_000L
        private val AVAILABLE = Regex(""""state":"available"""")
        private val NUMBER = Regex("""(?m)^number = \d+""")
    }
}
