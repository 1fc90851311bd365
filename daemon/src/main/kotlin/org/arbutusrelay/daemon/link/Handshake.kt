package org.arbutusrelay.daemon.link

import org.arbutusrelay.schema.message.Hello
import org.arbutusrelay.schema.message.HelloProof
import org.arbutusrelay.schema.message.LinkFrame
import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * Exchanges host identities and mutually authenticates both processes by the shared secret.
 *
 * The proof is an HMAC-SHA-256 over the role of the prover and both Hello messages, which contain both nonces, both
 * host names and both epochs. The role prevents a reflection attack, in which a peer returns the proof it received.
 * The accepting side sends its proof only after it has verified the proof of the dialling side.
 */
internal class Handshake(
    private val self: HostIdentity,
    private val secret: ByteArray,
    private val protocolVersion: Long,
    private val nonce: ByteArray,
) {
    /** Runs the dialling side and returns the peer, which must be the host [expectedName]. */
    suspend fun dial(connection: LinkConnection, expectedName: String): HostIdentity {
        val ownHello = hello()
        connection.send(LinkFrame(hello = ownHello))
        val peer = receiveHello(connection)
        if (peer.hostName != expectedName) {
            throw LinkClosedException(LinkClosure.WRONG_HOST, "dialled $expectedName and reached ${peer.hostName}")
        }
        connection.send(LinkFrame(helloProof = HelloProof(proof(DIALLER, ownHello, peer))))
        verify(connection, proof(ACCEPTOR, ownHello, peer), peer)
        return peer.identity()
    }

    /** Runs the accepting side and returns the peer. */
    suspend fun accept(connection: LinkConnection): HostIdentity {
        val ownHello = hello()
        connection.send(LinkFrame(hello = ownHello))
        val peer = receiveHello(connection)
        verify(connection, proof(DIALLER, peer, ownHello), peer)
        connection.send(LinkFrame(helloProof = HelloProof(proof(ACCEPTOR, peer, ownHello))))
        return peer.identity()
    }

    private fun hello() = Hello(
        protocolVersion = protocolVersion,
        hostName = self.hostName,
        region = self.region,
        availabilityZone = self.availabilityZone,
        epoch = self.epoch,
        nonce = nonce,
    )

    private suspend fun receiveHello(connection: LinkConnection): Hello {
        val hello = connection.read(MAX_HANDSHAKE_FRAME_BYTES).hello
            ?: throw LinkClosedException(LinkClosure.MALFORMED_FRAME, "the first frame is not a hello")
        helloError(hello)?.let { throw it }
        return hello
    }

    private fun helloError(hello: Hello): LinkClosedException? = when {
        hello.protocolVersion != protocolVersion -> LinkClosedException(
            LinkClosure.WRONG_VERSION,
            "${hello.hostName} speaks version ${hello.protocolVersion}, this host $protocolVersion",
        )

        hello.hostName == self.hostName ->
            LinkClosedException(LinkClosure.WRONG_HOST, "the peer has the name of this host")

        hello.nonce.size < NONCE_BYTES ->
            LinkClosedException(LinkClosure.MALFORMED_FRAME, "the nonce has less than $NONCE_BYTES bytes")

        else -> null
    }

    private suspend fun verify(connection: LinkConnection, expected: ByteArray, peer: Hello) {
        val received = connection.read(MAX_HANDSHAKE_FRAME_BYTES).helloProof?.proof
        if (received == null || !MessageDigest.isEqual(received, expected)) {
            throw LinkClosedException(LinkClosure.WRONG_SECRET, "${peer.hostName} does not prove the shared secret")
        }
    }

    private fun proof(role: Byte, dialler: Hello, acceptor: Hello): ByteArray {
        val mac = Mac.getInstance(MAC_ALGORITHM)
        mac.init(SecretKeySpec(secret, MAC_ALGORITHM))
        mac.update(role)
        // Length prefixes keep two different pairs of messages from producing the same MAC input.
        for (hello in listOf(dialler, acceptor)) {
            val bytes = FrameCodec.encode(LinkFrame(hello = hello))
            mac.update(bytes.size.toString().toByteArray())
            mac.update(0)
            mac.update(bytes)
        }
        return mac.doFinal()
    }

    private suspend fun LinkConnection.send(frame: LinkFrame) {
        write(FrameCodec.encode(frame))
        flush()
    }

    private fun Hello.identity() = HostIdentity(hostName, region, availabilityZone, epoch)

    companion object {
        const val NONCE_BYTES = 16

        // Keeps an unauthenticated peer from making this process allocate a full-size frame.
        private const val MAX_HANDSHAKE_FRAME_BYTES = 4_096
        private const val MAC_ALGORITHM = "HmacSHA256"
        private const val DIALLER: Byte = 1
        private const val ACCEPTOR: Byte = 2
    }
}
