package org.arbutusrelay.daemon.http

import jakarta.servlet.AsyncEvent
import jakarta.servlet.AsyncListener

/** Calls [onEnd] once the server has completed an asynchronous request, whether it succeeded or failed. */
internal class CompletionListener(private val onEnd: () -> Unit) : AsyncListener {
    override fun onComplete(event: AsyncEvent) = onEnd()

    override fun onTimeout(event: AsyncEvent) = Unit

    override fun onError(event: AsyncEvent) = Unit

    override fun onStartAsync(event: AsyncEvent) = Unit
}
