package org.arbutusrelay.daemon.link

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.arbutusrelay.schema.message.LinkFrame

/** Encodes and decodes the CBOR body of a frame. */
@OptIn(ExperimentalSerializationApi::class)
public object FrameCodec {
    /** Maximum size of a frame body, in bytes; see section 12 of the design. */
    public const val MAX_BODY_BYTES: Int = 1 shl 20

    // Ignores unknown keys so that the next release can add optional members.
    private val cbor = Cbor {
        ignoreUnknownKeys = true
        encodeDefaults = false
        alwaysUseByteString = true
        useDefiniteLengthEncoding = true
        // Member names would account for most of the size of a digest.
        preferCborLabelsOverNames = true
    }

    /** Returns the CBOR body of [frame], without the length prefix. */
    public fun encode(frame: LinkFrame): ByteArray = cbor.encodeToByteArray(LinkFrame.serializer(), frame)

    /** Decodes [body]; returns null if it is malformed or a member is out of bounds. */
    public fun decode(body: ByteArray): LinkFrame? = try {
        cbor.decodeFromByteArray(LinkFrame.serializer(), body)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    } catch (_: IllegalStateException) {
        null
    } catch (_: IndexOutOfBoundsException) {
        null
    }
}
