package org.arbutusrelay.daemon.link

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.arbutusrelay.schema.message.LinkFrame

/** Encodes and decodes the CBOR body of a frame. */
@OptIn(ExperimentalSerializationApi::class)
public object FrameCodec {
    /** Largest body of a frame, in bytes; see section 12 of the design. */
    public const val MAX_BODY_BYTES: Int = 1 shl 20

    // Unknown keys are skipped so that a daemon of the next release may add optional members.
    private val cbor = Cbor {
        ignoreUnknownKeys = true
        encodeDefaults = false
        alwaysUseByteString = true
        useDefiniteLengthEncoding = true
        // Names of members made up most of a digest.
        preferCborLabelsOverNames = true
    }

    /** Returns the CBOR body of [frame], without the length. */
    public fun encode(frame: LinkFrame): ByteArray = cbor.encodeToByteArray(LinkFrame.serializer(), frame)

    /** Returns the frame in [body], or null when it is malformed or a member is out of its bounds. */
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
