package org.arbutusrelay.standin.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The members of a chat completion request that a stand-in engine reads. */
@Serializable
public data class ChatRequest(
    val model: String,
    val messages: List<ChatMessage>,
    val stream: Boolean = false,
    @SerialName("max_tokens") val maxTokens: Int = 16,
    val priority: Int = 0,
) {
    /** The text of all messages. */
    public fun prompt(): String = messages.joinToString("\n") { it.content }
}

/** One message of a chat. */
@Serializable
public data class ChatMessage(val role: String, val content: String)
