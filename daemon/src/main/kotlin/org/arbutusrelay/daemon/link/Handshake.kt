package org.arbutusrelay.daemon.link

import org.arbutusrelay.schema.message.Hello
import org.arbutusrelay.schema.message.HelloProof
import org.arbutusrelay.schema.message.LinkFrame
import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * Names both processes to each other and proves the shared secret in both directions.
 *
 * The proof is an HMAC-SHA-256 over the role of the prover and both Hello messages, which contain both nonces, both
 * host names and both epochs. The role keeps a peer from returning the proof that it was sent. The accepting side
 * sends its proof only after it has verified that of the dialling side.
 */
internal class Handshake(
    private val self: HostIdentity,
    private val secret: ByteArray,
    private val protocolVersion: Long,
    private val nonce: ByteArray,
) {
    /** Runs the dialling side and returns the peer; [expectedName] is the host that was dialled. */
    suspend fun dial(connection: LinkConnection, expectedName: String): HostIdentity {
        val own = hello()
        connection.send(LinkFrame(hello = own))
        val peer = receiveHello(connection)
        if (peer.hostName != expectedName) {
            throw LinkClosedException(LinkClosure.WRONG_HOST, "dialled $expectedName and reached ${peer.hostName}")
        }
        connection.send(LinkFrame(helloProof = HelloProof(proof(DIALLER, own, peer))))
        verify(connection, proof(ACCEPTOR, own, peer), peer)
        return peer.identity()
    }

    /** Runs the accepting side and returns the peer. */
    suspend fun accept(connection: LinkConnection): HostIdentity {
        val own = hello()
        connection.send(LinkFrame(hello = own))
        val peer = receiveHello(connection)
        verify(connection, proof(DIALLER, peer, own), peer)
        connection.send(LinkFrame(helloProof = HelloProof(proof(ACCEPTOR, peer, own))))
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
        val hello = connection.read(MAX_BYTES).hello
            ?: throw LinkClosedException(LinkClosure.MALFORMED_FRAME, "the first frame is not a hello")
        refusal(hello)?.let { throw it }
        return hello
    }

    private fun refusal(hello: Hello): LinkClosedException? = when {
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
        val received = connection.read(MAX_BYTES).helloProof?.proof
        if (received == null || !MessageDigest.isEqual(received, expected)) {
            throw LinkClosedException(LinkClosure.WRONG_SECRET, "${peer.hostName} does not prove the shared secret")
        }
    }

    private fun proof(role: Byte, dialler: Hello, acceptor: Hello): ByteArray {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(SecretKeySpec(secret, ALGORITHM))
        mac.update(role)
        // Each part is preceded by its length, so that two different pairs of messages never give the same input.
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

        // A peer that has not proved the secret cannot make this process allocate a full-size frame.
        private const val MAX_BYTES = 4_096
        private const val ALGORITHM = "HmacSHA256"
        private const val DIALLER: Byte = 1
        private const val ACCEPTOR: Byte = 2
    }
}
