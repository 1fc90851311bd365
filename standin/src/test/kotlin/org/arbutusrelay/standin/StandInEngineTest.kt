package org.arbutusrelay.standin

import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.arbutusrelay.standin.engine.EngineModel
import org.arbutusrelay.standin.engine.ExpectedText
import org.arbutusrelay.standin.engine.StandInEngine
import org.arbutusrelay.standin.link.StandInLink
import java.io.IOException
import java.net.URI
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class StandInEngineTest {
    private val http = OkHttpClient.Builder().retryOnConnectionFailure(false).build()
    private val fastModel = EngineModel(prefillMicrosPerToken = 10, decodeMicrosPerToken = 100)

    /** Guards against responses that cannot be distinguished from those of other requests. */
    @Test
    fun `complete and streamed responses contain the expected text`() = StandInEngine(fastModel).use { engine ->
        listOf(false, true).forEach { isStreamed ->
            val text = post(engine.address, "a $isStreamed", isStreamed)
            ExpectedText.tokens("a $isStreamed", 4).forEach { assertContains(text, it) }
            assertEquals(isStreamed, text.trim().endsWith("data: [DONE]"))
        }
        assertEquals(listOf(1L, 1L), engine.runCounts().values.toList())
    }

    @Test
    fun `a crash prompt closes the connection without a response`() = StandInEngine(fastModel).use { engine ->
        engine.onCrash = {}
        assertFailsWith<IOException> { post(engine.address, "please crash-the-engine now", false) }
        assertEquals(1, engine.runCounts().size)
    }

    @Test
    fun `a link forwards requests and counts their bytes`() = StandInEngine(fastModel).use { engine ->
        StandInLink(URI(engine.address).port, oneWayDelayMs = 1).start().use { link ->
            assertContains(
                post("http://127.0.0.1:${link.port}", "over a link", false),
                ExpectedText.text("over a link", 4),
            )
            check(link.passedBytes() > 0) { "the link forwarded no bytes" }
        }
    }

    private fun post(address: String, prompt: String, isStreamed: Boolean): String {
        val messages = """[{"role":"user","content":"$prompt"}]"""
        val body = """{"model":"m","stream":$isStreamed,"max_tokens":4,"messages":$messages}"""
        val request = Request.Builder().url("$address/v1/chat/completions").post(body.toRequestBody()).build()
        return http.newCall(request).execute().use { it.body.string() }
    }
}
