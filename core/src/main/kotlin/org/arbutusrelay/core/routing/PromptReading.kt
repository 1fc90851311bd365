package org.arbutusrelay.core.routing

/** What a backend server has to read of a prompt. */
public class PromptReading(
    /** Prompt tokens that it reads. */
    public val tokens: Int,
    /** Backend server from which it should copy cached tokens first; null when none has more. */
    public val source: BackendSlots? = null,
)
