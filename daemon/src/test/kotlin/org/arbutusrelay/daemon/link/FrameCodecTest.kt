@file:OptIn(ExperimentalSerializationApi::class)

package org.arbutusrelay.daemon.link

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborLabel
import org.arbutusrelay.schema.message.Attempt
import org.arbutusrelay.schema.message.LedgerFinish
import org.arbutusrelay.schema.message.LedgerKey
import org.arbutusrelay.schema.message.LedgerRequest
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.Ping
import org.arbutusrelay.schema.message.StoredResponse
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class FrameCodecTest {
    /** A frame of a later release, which adds a member to the frame and one to a nested message. */
    @Serializable
    private data class NewerFrame(@CborLabel(2) val ping: NewerPing, @CborLabel(900) val added: List<String>)

    @Serializable
    private data class NewerPing(@CborLabel(0) val sequence: Long, @CborLabel(77) val addedNumber: Long)

    @Test
    fun `a nested frame is decoded unchanged and encoded without member names`() {
        val finish = LedgerFinish(
            LedgerKey("office", "key"),
            Attempt("hue-1", 7, 9),
            StoredResponse(200, "application/json", byteArrayOf(1, 2, 3)),
        )
        val body = FrameCodec.encode(LinkFrame(ledgerRequest = LedgerRequest(4, "ledger/hue", finish = finish)))
        val decoded = FrameCodec.decode(body)?.ledgerRequest
        assertEquals(finish.key, decoded?.finish?.key)
        assertEquals(finish.attempt, decoded?.finish?.attempt)
        assertContentEquals(byteArrayOf(1, 2, 3), decoded?.finish?.response?.body)
        assertTrue("ledgerRequest" !in body.decodeToString(), "the frame contains a member name")
    }

    /** Guards against a rolling upgrade in which hosts of the older release close links to upgraded hosts. */
    @Test
    fun `members added by a later release are ignored`() {
        val cbor = Cbor { preferCborLabelsOverNames = true }
        val body = cbor.encodeToByteArray(NewerFrame.serializer(), NewerFrame(NewerPing(5, 6), listOf("a", "b")))
        assertEquals(Ping(5), FrameCodec.decode(body)?.ping)
    }

    /** Guards against a frame that overflows the stack of the coroutine that reads it. */
    @Test
    fun `a frame that is nested deeply under an unknown member is rejected`() {
        val unknownMember = byteArrayOf(0xa1.toByte(), 0x19, 0x27, 0x0f)
        for (nested in listOf(0x81, 0xa1, 0xd8, 0x9f, 0xbf)) {
            assertNull(FrameCodec.decode(unknownMember + ByteArray(500_000) { nested.toByte() }), "$nested")
        }
    }
}
