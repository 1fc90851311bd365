package org.arbutusrelay.core.routing

/** Estimated prefill of a prompt on a backend server. */
public class PrefillEstimate(
    /** Prompt tokens to prefill. */
    public val tokens: Int,
    /** Backend server to import cached tokens from; null when none has more of the prompt cached. */
    public val cacheSource: BackendSlots? = null,
)
