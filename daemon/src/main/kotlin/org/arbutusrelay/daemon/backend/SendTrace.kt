package org.arbutusrelay.daemon.backend

import okhttp3.Call
import okhttp3.EventListener
import okhttp3.Interceptor
import okhttp3.Response
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Proxy
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Records whether any byte of a call may have reached the backend server, and whether its connection was used before.
 *
 * OkHttp reports `requestHeadersStart` before it writes the first byte of a request to the connection. Before that it
 * only resolves the address and connects, so a call that failed without this event was not sent. The outcome of a call
 * that failed after the event is unknown, because written bytes may be buffered or in transit.
 */
internal class SendTrace : EventListener() {
    private val isWriteStarted = AtomicBoolean(false)
    private val isConnectStarted = AtomicBoolean(false)
    private val isClaimed = AtomicBoolean(false)

    val mayHaveBeenSent: Boolean get() = isWriteStarted.get()

    /** True if the call used a connection that an earlier call had opened. */
    val isConnectionReused: Boolean get() = !isConnectStarted.get()

    override fun connectStart(call: Call, inetSocketAddress: InetSocketAddress, proxy: Proxy) {
        isConnectStarted.set(true)
    }

    override fun requestHeadersStart(call: Call) {
        isWriteStarted.set(true)
    }

    /** Claims the only permitted send of the call; returns true on the first invocation only. */
    fun claimSend(): Boolean = isClaimed.compareAndSet(false, true)
}

/**
 * Prevents OkHttp from sending a call more than once.
 *
 * OkHttp resends a request after a 503 response with `Retry-After: 0` even if retries are disabled. The interceptor
 * removes this header, and a second send of the same call fails before anything is written.
 */
internal object SingleSendInterceptor : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val trace = chain.request().tag(SendTrace::class.java)
        if (trace != null && !trace.claimSend()) throw IOException("a call is sent once")
        val response = chain.proceed(chain.request())
        return if (response.code in
            RETRIED_STATUS_CODES
        ) {
            response.newBuilder().removeHeader("Retry-After").build()
        } else {
            response
        }
    }

    private val RETRIED_STATUS_CODES = setOf(408, 503)
}
