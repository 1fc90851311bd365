package org.arbutusrelay.standin.engine

import java.security.MessageDigest

/**
 * The response that a stand-in engine gives to a prompt.
 *
 * It depends on the prompt only, so that a caller can tell a complete response to its own request from any other.
 */
public object ExpectedText {
    /** Returns the generated tokens for [prompt]. */
    public fun tokens(prompt: String, count: Int): List<String> {
        val digest = digest(prompt)
        return List(count) { index -> "$digest-$index " }
    }

    /** Returns the whole generated text for [prompt]. */
    public fun text(prompt: String, count: Int): String = tokens(prompt, count).joinToString("")

    /** Returns a short digest of [text] in hexadecimal. */
    public fun digest(text: String): String = MessageDigest.getInstance("SHA-256").digest(text.toByteArray())
        .take(DIGEST_BYTES).joinToString("") { "%02x".format(it) }

    private const val DIGEST_BYTES = 6
}
