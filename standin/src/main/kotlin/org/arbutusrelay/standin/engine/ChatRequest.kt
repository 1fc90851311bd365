package org.arbutusrelay.standin.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Fields of a chat completion request that a stand-in engine uses. */
@Serializable
public data class ChatRequest(
    val model: String,
    val messages: List<ChatMessage>,
    val stream: Boolean = false,
    @SerialName("max_tokens") val maxTokens: Int = 16,
    val priority: Int = 0,
) {
    /** Returns the text of all messages, separated by line breaks. */
    public fun prompt(): String = messages.joinToString("\n") { it.content }
}

/** A chat message. */
@Serializable
public data class ChatMessage(val role: String, val content: String)
