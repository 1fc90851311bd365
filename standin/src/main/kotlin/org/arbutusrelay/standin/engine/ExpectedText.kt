package org.arbutusrelay.standin.engine

import java.security.MessageDigest

/**
 * Deterministic response of a stand-in engine to a prompt.
 *
 * The text depends only on the prompt and the token count, so a caller can verify that a response is complete and
 * belongs to its request.
 */
public object ExpectedText {
    /** Returns the [count] tokens generated for [prompt]. */
    public fun tokens(prompt: String, count: Int): List<String> {
        val digest = digest(prompt)
        return List(count) { index -> "$digest-$index " }
    }

    /** Returns the complete text generated for [prompt]. */
    public fun text(prompt: String, count: Int): String = tokens(prompt, count).joinToString("")

    /** Returns a short digest of [text] in hexadecimal. */
    public fun digest(text: String): String = MessageDigest.getInstance("SHA-256").digest(text.toByteArray())
        .take(DIGEST_BYTES).joinToString("") { "%02x".format(it) }

    private const val DIGEST_BYTES = 6
}
