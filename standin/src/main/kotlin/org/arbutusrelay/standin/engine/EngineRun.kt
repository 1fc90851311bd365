package org.arbutusrelay.standin.engine

import java.util.concurrent.atomic.AtomicBoolean

/**
 * One request that an engine runs; it keeps the generated tokens so that a broken stream can be resumed.
 *
 * Generation goes on while no reader is connected, until [cancel].
 */
internal class EngineRun(val requestId: String, val tokens: List<String>) {
    private val lock = Object()
    private val isCancelled = AtomicBoolean()
    private var generated = 0
    private var isFailed = false

    fun cancel() {
        isCancelled.set(true)
        fail()
    }

    fun isCancelled(): Boolean = isCancelled.get()

    fun advance(): Unit = synchronized(lock) {
        generated++
        lock.notifyAll()
    }

    fun fail(): Unit = synchronized(lock) {
        isFailed = true
        lock.notifyAll()
    }

    fun isDone(): Boolean = synchronized(lock) { generated >= tokens.size }

    /** Waits until the token at [index] exists; returns null when the run failed before. */
    fun awaitToken(index: Int): String? = synchronized(lock) {
        while (generated <= index && !isFailed) lock.wait()
        tokens.getOrNull(index).takeIf { generated > index }
    }
}
