package org.arbutusrelay.relay.node

import org.arbutusrelay.core.tenancy.Tenant
import org.arbutusrelay.daemon.link.FrameReceiver
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.daemon.observe.RelayMetrics
import org.arbutusrelay.relay.exchange.QuotaResult
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.QuotaReply
import kotlin.test.Test
import kotlin.test.assertEquals

class QuotaRequesterTest {
    private val loop = VirtualLoop()
    private val sent = ArrayList<Pair<String, LinkFrame>>()
    private val results = ArrayList<QuotaResult>()
    private val requester = QuotaRequester(Links(), { listOf("a", "b", "c") }, loop, loop::nowMs, RelayMetrics().quotas)
    private val tenant = Tenant("t", setOf("k"))

    /** Guards against requests that hang, ask more than two hosts, get two results or keep unwanted grants. */
    @Test
    fun `asks one other host and gives back what is not wanted`() {
        class Case(
            val name: String,
            val results: List<QuotaResult>,
            val asked: Int,
            val back: Long,
            val run: () -> Unit,
        )
        val granted = listOf(QuotaResult.Granted)
        val unavailable = listOf(QuotaResult.Unavailable)
        val cases = listOf(
            Case("granted", granted, 1, 0) { reply("a", 0, true) },
            Case("refused", listOf(QuotaResult.Exceeded(7)), 1, 0) { reply("a", 0, false, retryAfterMs = 7) },
            Case("no reply", unavailable, 2, 0) { loop.passMs(400) },
            Case("cannot decide", granted, 2, 0) {
                reply("a", 0, false, isUnavailable = true)
                reply("b", 1, true)
            },
            Case("repeated reply", granted, 1, 0) { repeat(2) { reply("a", 0, true) } },
            Case("reply of a host that was not asked", unavailable, 2, 0) {
                reply("c", 0, true)
                loop.passMs(400)
            },
            Case("two grants", granted, 2, 5) {
                loop.passMs(200)
                reply("a", 0, true)
                reply("b", 1, true)
            },
            Case("late grants, one repeated", unavailable, 2, 10) {
                loop.passMs(400)
                repeat(2) { reply("a", 0, true) }
                reply("b", 1, true)
            },
            Case("a grant that a stalled event loop reads late, before its timers", granted, 2, 5) {
                loop.nowMs += 1_000
                reply("a", 0, true)
                reply("b", 1, true)
            },
            Case("late refusal, then grant", granted, 2, 0) {
                loop.passMs(200)
                reply("a", 0, false, retryAfterMs = 7)
                reply("b", 1, true)
            },
        )
        for (case in cases) {
            sent.clear()
            results.clear()
            requester.acquire(tenant, 5) { results += it }
            case.run()
            loop.passMs(300)
            assertEquals(case.results, results, case.name)
            assertEquals(case.asked, sent.count { it.second.quotaRequest != null }, case.name)
            assertEquals(case.back, sent.sumOf { it.second.quotaReturn?.tokens ?: 0 }, case.name)
            loop.passMs(3_000)
        }
    }

    /** Guards against a message for each return, and returns to a host that has granted nothing. */
    @Test
    fun `returns are collected for the host that granted`() {
        requester.acquire(tenant, 5) { results += it }
        reply("a", 0, true)
        sent.clear()
        repeat(3) { requester.giveBack(tenant, 5) }
        loop.passMs(200)
        val (host, frame) = sent.single()
        assertEquals("a" to 15L, host to frame.quotaReturn?.tokens)
    }

    private fun reply(
        host: String,
        index: Int,
        isGranted: Boolean,
        retryAfterMs: Long = 0,
        isUnavailable: Boolean = false,
    ) {
        val number = sent.mapNotNull { it.second.quotaRequest }[index].number
        val reply = QuotaReply(number, isGranted, retryAfterMs, isUnavailable)
        requester.onFrame(HostIdentity(host, "r", "z", 1), LinkFrame(quotaReply = reply))
    }

    private inner class Links : LinkNetwork {
        override val self = HostIdentity("e", "r", "z", 1)

        override fun send(hostName: String, frame: LinkFrame): Boolean = sent.add(hostName to frame)

        override fun connected(): Map<String, HostIdentity> = emptyMap()

        override fun connect(hostName: String, address: String) = Unit

        override fun addReceiver(receiver: FrameReceiver) = Unit
    }
}
