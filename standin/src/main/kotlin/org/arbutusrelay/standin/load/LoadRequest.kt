package org.arbutusrelay.standin.load

import kotlinx.serialization.json.Json
import org.arbutusrelay.schema.settings.LoadClass
import org.arbutusrelay.standin.engine.ExpectedText
import org.arbutusrelay.standin.service.StandInService
import kotlin.random.Random

/** A request of a workload with its expected response. */
internal data class LoadRequest(
    val loadClass: LoadClass,
    /** Path relative to the address of the entry host. */
    val path: String,
    val body: String,
    val isStreamed: Boolean,
    /** Null for idempotent requests. */
    val idempotencyKey: String?,
    /** True when the request is sent again with the same key after it completed. */
    val isResent: Boolean,
    val expectedText: String,
)

/** Generates the requests of a workload from a seeded random source. */
internal class LoadRequestFactory(private val random: Random) {
    private var requestNumber = 0L

    fun next(loadClass: LoadClass): LoadRequest {
        requestNumber++
        return if (loadClass.type == LoadClass.Type.CHAT) chat(loadClass) else plain(loadClass)
    }

    private fun chat(loadClass: LoadClass): LoadRequest {
        val prompt = prompt(loadClass)
        val isStreamed = random.nextInt(PERMILLE) < loadClass.streamedPermille
        val body = """{"model":${Json.encodeToString(loadClass.service)},"stream":$isStreamed,""" +
            """"max_tokens":${loadClass.responseTokens},""" +
            """"messages":[{"role":"user","content":${Json.encodeToString(prompt)}}]}"""
        val expected = ExpectedText.text(prompt, loadClass.responseTokens.toInt())
        return request(loadClass, "/v1/chat/completions", body, isStreamed, expected)
    }

    private fun plain(loadClass: LoadClass): LoadRequest {
        val body = """{"entry":"${loadClass.name}-$requestNumber-${random.nextLong()}"}"""
        val path = "/v1/services/${loadClass.service}/entries"
        return request(loadClass, path, body, isStreamed = false, StandInService.response(body, 1))
    }

    private fun request(
        loadClass: LoadClass,
        path: String,
        body: String,
        isStreamed: Boolean,
        expectedText: String,
    ): LoadRequest = LoadRequest(
        loadClass = loadClass,
        path = path,
        body = body,
        isStreamed = isStreamed,
        idempotencyKey = if (loadClass.isIdempotent) null else "${loadClass.name}-$requestNumber-${random.nextLong()}",
        isResent = random.nextInt(PERMILLE) < loadClass.resentPermille,
        expectedText = expectedText,
    )

    private fun prompt(loadClass: LoadClass): String {
        val sharedCount = minOf(loadClass.sharedWords, loadClass.promptWords)
        val prefix = random.nextLong(loadClass.sharedPrefixes)
        val sharedPrefixWords = (0 until sharedCount).map { "shared$prefix-$it" }
        val uniqueWords = (sharedCount until loadClass.promptWords).map { "own$requestNumber-${random.nextInt()}" }
        return (sharedPrefixWords + uniqueWords).joinToString(" ")
    }

    private companion object {
        private const val PERMILLE = 1_000
    }
}
