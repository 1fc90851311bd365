package org.arbutusrelay.daemon.link

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.port
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlinx.io.IOException
import org.arbutusrelay.daemon.observe.FailureGuard
import org.arbutusrelay.schema.message.LinkFrame
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicLongArray
import kotlin.coroutines.coroutineContext
import kotlin.random.Random
import kotlin.random.asKotlinRandom
import kotlin.time.TimeSource

/**
 * Implements links over TCP sockets.
 *
 * All coroutines are children of [scope]; [close] cancels them and closes the sockets. [random] generates nonces and
 * jitter and must be cryptographically secure outside of tests. See section 12 of the design.
 */
public class SocketLinkNetwork(
    override val self: HostIdentity,
    private val secret: ByteArray,
    scope: CoroutineScope,
    private val options: LinkOptions = LinkOptions(),
    private val random: Random = java.security.SecureRandom().asKotlinRandom(),
    private val timeSource: TimeSource = TimeSource.Monotonic,
) : LinkNetwork,
    AutoCloseable {
    private val scope = CoroutineScope(scope.coroutineContext + SupervisorJob(scope.coroutineContext[Job]))
    private val selector = SelectorManager(Dispatchers.IO)
    private val table = LinkTable(self.hostName)
    private val addresses = ConcurrentHashMap<String, String>()
    private val receivers = CopyOnWriteArrayList<FrameReceiver>()
    private val closures = AtomicLongArray(LinkClosure.entries.size)
    private val serverSockets = CopyOnWriteArrayList<ServerSocket>()
    private val failures = FailureGuard("a connection or a receiver of link frames")

    /** Listens on [bindAddress] and returns the bound port; [port] 0 selects a free one. Throws if it is in use. */
    public suspend fun listen(bindAddress: String, port: Int): Int {
        val serverSocket = aSocket(selector).tcp().bind(bindAddress, port)
        serverSockets += serverSocket
        scope.launch {
            while (isActive) {
                val socket = try {
                    serverSocket.accept()
                } catch (_: IOException) {
                    delay(options.minReconnectDelayMs)
                    continue
                }
                // Not a child of this coroutine: a failed connection must not end the accepting of others.
                this@SocketLinkNetwork.scope.launch { runConnection(socket, null) }
            }
        }
        return serverSocket.localAddress.port()
    }

    /** Returns the number of connections closed for the reason [closure]. */
    public fun closures(closure: LinkClosure): Long = closures.get(closure.ordinal)

    override fun send(hostName: String, frame: LinkFrame): Boolean {
        val link = table[hostName] ?: return false
        val body = FrameCodec.encode(frame)
        return body.size <= FrameCodec.MAX_BODY_BYTES && link.offer(frame, body)
    }

    /** Encodes [frame] once for all receivers. */
    override fun sendAll(hostNames: Collection<String>, frame: LinkFrame) {
        val links = hostNames.mapNotNull { table[it] }
        if (links.isEmpty()) return
        val body = FrameCodec.encode(frame)
        if (body.size <= FrameCodec.MAX_BODY_BYTES) links.forEach { it.offer(frame, body) }
    }

    override fun connected(): Map<String, HostIdentity> = table.all().associate { it.peer.hostName to it.peer }

    override fun connect(hostName: String, address: String) {
        require(hostName != self.hostName) { "$hostName is this host" }
        requireNotNull(parseAddress(address)) { "$address is not an IP address and port" }
        if (addresses.put(hostName, address) == null) scope.launch { maintainConnection(hostName) }
    }

    override fun addReceiver(receiver: FrameReceiver) {
        receivers += receiver
    }

    override fun close() {
        scope.cancel()
        serverSockets.forEach { it.close() }
        table.all().forEach { it.close() }
        selector.close()
    }

    private suspend fun maintainConnection(hostName: String) {
        var delayMs = options.minReconnectDelayMs
        while (coroutineContext.isActive) {
            if (table[hostName] == null && tryDial(hostName)) delayMs = options.minReconnectDelayMs
            delay((delayMs * (MIN_JITTER_FACTOR + random.nextDouble())).toLong())
            delayMs = when (table[hostName]) {
                null -> minOf(delayMs * 2, options.maxReconnectDelayMs)
                else -> options.minReconnectDelayMs
            }
        }
    }

    /** Dials once; whatever a try throws, the tries that follow must go on, or the host would stay cut off for good. */
    @Suppress("TooGenericExceptionCaught")
    private suspend fun tryDial(hostName: String): Boolean = try {
        dial(hostName)
    } catch (e: CancellationException) {
        throw e
    } catch (e: RuntimeException) {
        failures.record(e)
        false
    }

    /** Dials once and runs the connection until it is closed; returns true if a link was established. */
    private suspend fun dial(hostName: String): Boolean {
        val (ip, port) = addresses[hostName]?.let(::parseAddress) ?: return false
        val socket = try {
            withTimeout(options.handshakeTimeoutMs) { aSocket(selector).tcp().connect(InetSocketAddress(ip, port)) }
        } catch (_: TimeoutCancellationException) {
            return false
        } catch (_: IOException) {
            return false
        } catch (_: java.nio.channels.UnresolvedAddressException) {
            return false
        }
        return runConnection(socket, hostName)
    }

    /**
     * Performs the handshake and runs the connection until it is closed; [dialledName] is null on the accepting side.
     *
     * Returns true if a link was established.
     */
    private suspend fun runConnection(socket: Socket, dialledName: String?): Boolean {
        val connection = LinkConnection(socket)
        var link: Link? = null
        try {
            val peer = withTimeout(options.handshakeTimeoutMs) { performHandshake(connection, dialledName) }
            val dialler = if (dialledName == null) peer.hostName else self.hostName
            val opened = Link(peer, dialler, connection, options, timeSource)
            if (!register(opened)) return false
            link = opened
            opened.run { frame -> notifyReceivers { it.onFrame(peer, frame) } }
        } catch (_: TimeoutCancellationException) {
            coroutineContext.ensureActive()
            countClosure(LinkClosure.HANDSHAKE_TIMEOUT)
        } catch (_: CancellationException) {
            coroutineContext.ensureActive()
            countClosure(LinkClosure.REPLACED)
        } catch (e: LinkClosedException) {
            countClosure(e.closure)
        } catch (_: IOException) {
            countClosure(LinkClosure.DISCONNECTED)
        } finally {
            link?.close()
            connection.close()
            link?.let(::unregister)
        }
        return link != null
    }

    private suspend fun performHandshake(connection: LinkConnection, dialledName: String?): HostIdentity {
        val handshake = Handshake(self, secret, options.protocolVersion, random.nextBytes(Handshake.NONCE_BYTES))
        return if (dialledName == null) handshake.accept(connection) else handshake.dial(connection, dialledName)
    }

    private fun register(link: Link): Boolean {
        val replaced = table.add(link)
        if (replaced == null) {
            countClosure(LinkClosure.DUPLICATE)
            return false
        }
        replaced.forEach { old ->
            old.close()
            notifyReceivers { it.onLinkDown(old.peer) }
        }
        notifyReceivers { it.onLinkUp(link.peer) }
        return true
    }

    private fun unregister(link: Link) {
        if (table.remove(link)) notifyReceivers { it.onLinkDown(link.peer) }
    }

    private fun notifyReceivers(action: (FrameReceiver) -> Unit) =
        receivers.forEach { receiver -> failures.run { action(receiver) } }

    private fun countClosure(closure: LinkClosure) {
        closures.incrementAndGet(closure.ordinal)
    }

    private companion object {
        const val MIN_JITTER_FACTOR = 0.5
    }
}

/** Returns true if [address] consists of an IP address and a port. */
internal fun isLinkAddress(address: String): Boolean = parseAddress(address) != null

/** Splits an address such as `127.0.0.1:7000` or `[::1]:7000`; returns null if it has another form. */
private fun parseAddress(address: String): Pair<String, Int>? {
    val port = address.substringAfterLast(':', "").toIntOrNull()?.takeIf { it in 1..65_535 } ?: return null
    val ip = address.substringBeforeLast(':').removeSurrounding("[", "]")
    return if (ip.isEmpty()) null else ip to port
}
