package org.arbutusrelay.daemon.backend

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.Call
import okhttp3.Callback
import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Protocol
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.schema.api.EngineOrder
import org.arbutusrelay.schema.api.EngineOrderReply
import java.io.IOException
import java.net.Proxy
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/**
 * HTTP client for backend servers.
 *
 * Each call is sent at most once: OkHttp's retries and redirects are disabled. A non-idempotent request uses a new
 * connection, because its outcome would be unknown if the backend server closed a pooled connection during the send. So
 * does each request to a server whose responses do not name their request: a late copy of one would answer the next.
 * [onDrop] is called for each dropped part of a response.
 */
public class BackendClient(
    private val onDrop: (DropReason) -> Unit = {},
    connectTimeoutMs: Long = 1_000,
    private val resumeAttempts: Int = 2,
) : AutoCloseable {
    // Only cancellations are asynchronous; other calls run on the thread of their request.
    private val cancelDispatcher = Dispatcher().apply {
        maxRequests = MAX_CONCURRENT_CANCELS
        maxRequestsPerHost = MAX_CONCURRENT_CANCELS
    }
    private val pooled: OkHttpClient = OkHttpClient.Builder()
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .followSslRedirects(false)
        .proxy(Proxy.NO_PROXY)
        .protocols(listOf(Protocol.HTTP_1_1))
        .connectTimeout(connectTimeoutMs, TimeUnit.MILLISECONDS)
        .readTimeout(0, TimeUnit.MILLISECONDS)
        .writeTimeout(0, TimeUnit.MILLISECONDS)
        .connectionPool(ConnectionPool(MAX_IDLE_CONNECTIONS, KEEP_ALIVE_S, TimeUnit.SECONDS))
        .dispatcher(cancelDispatcher)
        .addNetworkInterceptor(SingleSendInterceptor)
        .eventListenerFactory { call -> call.request().tag(SendTrace::class.java) ?: SendTrace() }
        .build()
    private val unpooled: OkHttpClient =
        pooled.newBuilder().connectionPool(ConnectionPool(0, 1, TimeUnit.SECONDS)).build()

    /** Addresses of servers that have sent a response without a request identifier. */
    private val anonymousAddresses = ConcurrentHashMap.newKeySet<String>()

    /** Creates an exchange; nothing is sent until [BackendExchange.run] is called. */
    public fun exchange(request: BackendRequest): BackendExchange =
        BackendExchange(this, request, resumeAttempts, onDrop)

    /** Sends an order to the engine at [address] and waits for the reply for at most [timeoutMs]. */
    public fun sendOrder(address: String, order: EngineOrder, timeoutMs: Long): Either<RelayError, EngineOrderReply> {
        val trace = SendTrace()
        val body = json.encodeToString(EngineOrder.serializer(), order).toRequestBody(JSON_TYPE)
        val request = Request.Builder().url("$address/v1/orders").post(body).tag(SendTrace::class.java, trace).build()
        return try {
            newCall(request, isPooled = false, timeoutMs).execute().use(::readOrderReply)
        } catch (e: IOException) {
            val kind = if (trace.mayHaveBeenSent) ErrorKind.BACKEND_FAILED else ErrorKind.BACKEND_REFUSED
            RelayError(kind, "order ${order.orderId}: ${e.message}").left()
        }
    }

    /** Closes idle connections and shuts down the cancellation threads. */
    override fun close() {
        cancelDispatcher.executorService.shutdown()
        pooled.connectionPool.evictAll()
    }

    internal fun mayReuseConnections(address: String): Boolean = address !in anonymousAddresses

    internal fun recordAnonymousResponse(address: String) {
        // Servers that have left are forgotten together with the others, which are then learned again.
        if (anonymousAddresses.size >= MAX_ANONYMOUS_ADDRESSES) anonymousAddresses.clear()
        anonymousAddresses += address
    }

    internal fun newCall(request: Request, isPooled: Boolean, timeoutMs: Long): Call {
        val call = (if (isPooled) pooled else unpooled).newCall(request)
        call.timeout().timeout(timeoutMs.coerceAtLeast(1), TimeUnit.MILLISECONDS)
        return call
    }

    internal fun cancelStream(address: String, requestId: String) {
        if (cancelDispatcher.queuedCallsCount() >= MAX_CONCURRENT_CANCELS) return
        val request = Request.Builder().url("$address/v1/streams/$requestId").delete().build()
        newCall(request, isPooled = true, CANCEL_TIMEOUT_MS).enqueue(DiscardResponse)
    }

    private fun readOrderReply(response: Response): Either<RelayError, EngineOrderReply> = try {
        json.decodeFromString(EngineOrderReply.serializer(), response.peekBody(MAX_ORDER_REPLY_BYTES).string()).right()
    } catch (e: SerializationException) {
        RelayError(ErrorKind.BACKEND_FAILED, "status ${response.code}, no order reply: ${e.message}").left()
    } catch (e: IllegalArgumentException) {
        RelayError(ErrorKind.BACKEND_FAILED, "status ${response.code}, bad order reply: ${e.message}").left()
    }

    private object DiscardResponse : Callback {
        override fun onFailure(call: Call, e: IOException) = Unit

        override fun onResponse(call: Call, response: Response) = response.close()
    }

    private companion object {
        private val json = Json { ignoreUnknownKeys = true }
        private val JSON_TYPE = "application/json".toMediaType()
        private const val MAX_IDLE_CONNECTIONS = 256
        private const val KEEP_ALIVE_S = 30L
        private const val MAX_ANONYMOUS_ADDRESSES = 10_000
        private const val MAX_CONCURRENT_CANCELS = 16
        private const val CANCEL_TIMEOUT_MS = 2_000L
        private const val MAX_ORDER_REPLY_BYTES = 65_536L
    }
}
