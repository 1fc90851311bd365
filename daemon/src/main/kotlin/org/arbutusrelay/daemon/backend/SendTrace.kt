package org.arbutusrelay.daemon.backend

import okhttp3.Call
import okhttp3.EventListener
import okhttp3.Interceptor
import okhttp3.Response
import java.io.IOException
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Records whether a byte of a call may have reached the backend server.
 *
 * OkHttp reports `requestHeadersStart` before it writes the first byte of a request to the connection. Until then it
 * only resolves the address and connects, so a call that failed without this event was not sent. Any failure after the
 * event leaves the outcome open, because written bytes may be in a buffer or on the way.
 */
internal class SendTrace : EventListener() {
    private val isStarted = AtomicBoolean(false)
    private val isClaimed = AtomicBoolean(false)

    val mayHaveReached: Boolean get() = isStarted.get()

    override fun requestHeadersStart(call: Call) {
        isStarted.set(true)
    }

    /** Returns true to the first sender only. */
    fun claimSend(): Boolean = isClaimed.compareAndSet(false, true)
}

/**
 * Refuses to send a call a second time.
 *
 * OkHttp resends a request by itself after a response 503 with `Retry-After: 0`, even when its retries are switched
 * off. The header is therefore hidden from it, and a second send of the same call fails before anything is written.
 */
internal object SingleSendInterceptor : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val trace = chain.request().tag(SendTrace::class.java)
        if (trace != null && !trace.claimSend()) throw IOException("a call is sent once")
        val response = chain.proceed(chain.request())
        return if (response.code in
            NO_FOLLOW_UP
        ) {
            response.newBuilder().removeHeader("Retry-After").build()
        } else {
            response
        }
    }

    private val NO_FOLLOW_UP = setOf(408, 503)
}
