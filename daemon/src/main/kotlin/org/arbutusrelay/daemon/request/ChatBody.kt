package org.arbutusrelay.daemon.request

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError

/** Fields of a chat completion body that the gateway uses for routing. */
public class ChatBody private constructor(
    /** Model name, which selects the service. */
    public val model: String,
    /** Concatenated text of the messages. */
    public val prompt: String,
    /** Maximum response length in tokens; 0 if the body sets no limit. */
    public val maxTokens: Int,
) {
    public companion object {
        /** Path of the chat completions endpoint of the gateway and of engines. */
        public const val PATH: String = "/v1/chat/completions"

        private const val MAX_NESTING_DEPTH = 64

        /** Parses [body]; fails with `MALFORMED_REQUEST` and a description of the error. */
        public fun parse(body: ByteArray): Either<RelayError, ChatBody> {
            if (exceedsMaxNesting(body)) return malformed("the body is nested too deep")
            val fields = try {
                Json.parseToJsonElement(body.decodeToString(throwOnInvalidSequence = true)) as? JsonObject
            } catch (e: SerializationException) {
                return malformed("the body is not JSON: ${e.message?.lineSequence()?.firstOrNull()}")
            } catch (_: CharacterCodingException) {
                return malformed("the body is not UTF-8")
            }
            val model = (fields?.get("model") as? JsonPrimitive)?.takeIf { it.isString }?.contentOrNull
            if (fields == null || model.isNullOrEmpty()) return malformed("the body has no member model")
            val maxTokens = (fields["max_tokens"] as? JsonPrimitive)?.intOrNull ?: 0
            return ChatBody(model, PrefixHasher.promptText(fields["messages"]), maxTokens.coerceAtLeast(0)).right()
        }

        private fun malformed(detail: String) = RelayError(ErrorKind.MALFORMED_REQUEST, detail).left()

        // The JSON parser is recursive, so deeply nested input could overflow the stack.
        private fun exceedsMaxNesting(body: ByteArray): Boolean {
            var depth = 0
            var isInString = false
            var isEscaped = false
            for (byte in body) {
                val char = byte.toInt().toChar()
                when {
                    isEscaped -> isEscaped = false
                    isInString && char == '\\' -> isEscaped = true
                    char == '"' -> isInString = !isInString
                    isInString -> Unit
                    char == '{' || char == '[' -> if (++depth > MAX_NESTING_DEPTH) return true
                    char == '}' || char == ']' -> depth--
                }
            }
            return false
        }
    }
}
