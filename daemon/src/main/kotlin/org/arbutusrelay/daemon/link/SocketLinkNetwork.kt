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
import org.arbutusrelay.schema.message.LinkFrame
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicLongArray
import kotlin.coroutines.coroutineContext
import kotlin.random.Random
import kotlin.random.asKotlinRandom
import kotlin.time.TimeSource

/**
 * Links over TCP sockets.
 *
 * All coroutines run below [scope] and end with [close], which also closes the sockets. [random] draws nonces and
 * jitter and must be cryptographically strong outside of tests. Source: section 12 of the design.
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
    private val servers = CopyOnWriteArrayList<ServerSocket>()

    /** Accepts links on [bindAddress] and returns the port; [port] 0 picks a free one. Throws when it is in use. */
    public suspend fun listen(bindAddress: String, port: Int): Int {
        val server = aSocket(selector).tcp().bind(bindAddress, port)
        servers += server
        scope.launch {
            while (isActive) {
                val socket = try {
                    server.accept()
                } catch (_: IOException) {
                    delay(options.minReconnectDelayMs)
                    continue
                }
                launch { serve(socket, null) }
            }
        }
        return server.localAddress.port()
    }

    /** Returns how many connections ended for [closure]. */
    public fun closures(closure: LinkClosure): Long = closures.get(closure.ordinal)

    override fun send(hostName: String, frame: LinkFrame): Boolean {
        val link = table[hostName] ?: return false
        val body = FrameCodec.encode(frame)
        return body.size <= FrameCodec.MAX_BODY_BYTES && link.offer(frame, body)
    }

    override fun connected(): Map<String, HostIdentity> = table.all().associate { it.peer.hostName to it.peer }

    override fun connect(hostName: String, address: String) {
        require(hostName != self.hostName) { "$hostName is this host" }
        requireNotNull(parseAddress(address)) { "$address is not an IP address and port" }
        if (addresses.put(hostName, address) == null) scope.launch { keepConnected(hostName) }
    }

    override fun addReceiver(receiver: FrameReceiver) {
        receivers += receiver
    }

    override fun close() {
        scope.cancel()
        servers.forEach { it.close() }
        table.all().forEach { it.close() }
        selector.close()
    }

    private suspend fun keepConnected(hostName: String) {
        var delayMs = options.minReconnectDelayMs
        while (coroutineContext.isActive) {
            if (table[hostName] == null && dial(hostName)) delayMs = options.minReconnectDelayMs
            delay((delayMs * (JITTER_MIN + random.nextDouble())).toLong())
            delayMs = when (table[hostName]) {
                null -> minOf(delayMs * 2, options.maxReconnectDelayMs)
                else -> options.minReconnectDelayMs
            }
        }
    }

    /** Dials once, serves the link until it ends, and returns true when there was one. */
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
        return serve(socket, hostName)
    }

    /** Runs one connection to its end; [dialledName] is null on the accepting side. Returns true if it was in use. */
    private suspend fun serve(socket: Socket, dialledName: String?): Boolean {
        val connection = LinkConnection(socket)
        var link: Link? = null
        try {
            val peer = withTimeout(options.handshakeTimeoutMs) { shakeHands(connection, dialledName) }
            val dialler = if (dialledName == null) peer.hostName else self.hostName
            val opened = Link(peer, dialler, connection, options, timeSource)
            if (!install(opened)) return false
            link = opened
            opened.run { frame -> receivers.forEach { it.onFrame(peer, frame) } }
        } catch (_: TimeoutCancellationException) {
            coroutineContext.ensureActive()
            count(LinkClosure.HANDSHAKE_TIMEOUT)
        } catch (_: CancellationException) {
            coroutineContext.ensureActive()
            count(LinkClosure.REPLACED)
        } catch (e: LinkClosedException) {
            count(e.closure)
        } catch (_: IOException) {
            count(LinkClosure.DISCONNECTED)
        } finally {
            link?.close()
            connection.close()
            link?.let(::uninstall)
        }
        return link != null
    }

    private suspend fun shakeHands(connection: LinkConnection, dialledName: String?): HostIdentity {
        val handshake = Handshake(self, secret, options.protocolVersion, random.nextBytes(Handshake.NONCE_BYTES))
        return if (dialledName == null) handshake.accept(connection) else handshake.dial(connection, dialledName)
    }

    private fun install(link: Link): Boolean {
        val replaced = table.add(link)
        if (replaced == null) {
            count(LinkClosure.DUPLICATE)
            return false
        }
        replaced.forEach { old ->
            old.close()
            receivers.forEach { it.onLinkDown(old.peer) }
        }
        receivers.forEach { it.onLinkUp(link.peer) }
        return true
    }

    private fun uninstall(link: Link) {
        if (table.remove(link)) receivers.forEach { it.onLinkDown(link.peer) }
    }

    private fun count(closure: LinkClosure) {
        closures.incrementAndGet(closure.ordinal)
    }

    private companion object {
        const val JITTER_MIN = 0.5
    }
}

/** Returns true when [address] is an IP address and a port. */
internal fun isLinkAddress(address: String): Boolean = parseAddress(address) != null

/** Splits `127.0.0.1:7000` or `[::1]:7000`; null when it is neither. */
private fun parseAddress(address: String): Pair<String, Int>? {
    val port = address.substringAfterLast(':', "").toIntOrNull()?.takeIf { it in 1..65_535 } ?: return null
    val ip = address.substringBeforeLast(':').removeSurrounding("[", "]")
    return if (ip.isEmpty()) null else ip to port
}
