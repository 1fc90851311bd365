package org.arbutusrelay.standin.engine

import java.util.concurrent.atomic.AtomicBoolean

/**
 * A request run by an engine; retains the generated tokens so that a broken stream can be resumed.
 *
 * Generation continues while no client is connected, until [cancel].
 */
internal class EngineRun(val requestId: String, val tokens: List<String>) {
    private val lock = Object()
    private val isCancelled = AtomicBoolean()
    private var generatedCount = 0
    private var isFailed = false

    fun cancel() {
        isCancelled.set(true)
        fail()
    }

    fun isCancelled(): Boolean = isCancelled.get()

    fun advance(): Unit = synchronized(lock) {
        generatedCount++
        lock.notifyAll()
    }

    fun fail(): Unit = synchronized(lock) {
        isFailed = true
        lock.notifyAll()
    }

    fun isDone(): Boolean = synchronized(lock) { generatedCount >= tokens.size }

    /** Blocks until the token at [index] is generated; returns null when the run fails first. */
    fun awaitToken(index: Int): String? = synchronized(lock) {
        while (generatedCount <= index && !isFailed) lock.wait()
        tokens.getOrNull(index).takeIf { generatedCount > index }
    }
}
