package org.arbutusrelay.daemon.orders

import arrow.core.left
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.orders.DueOrder
import org.arbutusrelay.core.orders.OrderResult
import org.arbutusrelay.core.orders.OrderScheduler
import org.arbutusrelay.daemon.consensus.ConsensusGroup
import org.arbutusrelay.schema.manifest.Manifest
import org.arbutusrelay.schema.manifest.Placement
import org.arbutusrelay.schema.manifest.Service
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.ReplicatedCommand
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.ExperimentalTime

/** Guards against orders sent by a host that does not hold the leader lease. */
@OptIn(ExperimentalCoroutinesApi::class, ExperimentalTime::class)
class OrderLoopTest {
    private class FakeGroup : ConsensusGroup<Unit> {
        var holdsLease = false
        override var term = 1L
        override val name = "ledger/hue"
        override val leaderName: String? = null

        override fun isLeaseHeld() = holdsLease

        override suspend fun propose(command: ReplicatedCommand) = RelayError(ErrorKind.LEDGER_UNAVAILABLE).left()

        override fun addListener(listener: (Long, Unit) -> Unit) = Unit

        override suspend fun transferLeadership() = Unit
    }

    private val service =
        Service(
            "drafting",
            Service.Type.ENGINE,
            "UTC",
            listOf("hue"),
            isFencingChecked = true,
            kinds = emptyList(),
            placement = listOf(Placement("hue", "m", 1)),
        )
    private val manifest = Manifest(1, emptyList(), services = listOf(service), callers = emptyList())
    private val server =
        BackendServerState(
            "a", "drafting", "hue", "a", "http://a", 1, 1, 8, emptyList(), emptyList(), "general", 0, 0, false, 3_000,
        )

    @Test
    fun `orders are sent only while the lease is held and contain the term`() = runTest {
        val group = FakeGroup()
        val sent = mutableListOf<DueOrder>()
        val sender = OrderSender {
            sent += it
            delay(Long.MAX_VALUE)
            OrderResult.DONE
        }
        OrderLoop(
            group,
            OrderScheduler("hue"),
            sender,
            { manifest },
            { listOf(server) },
            backgroundScope,
            testScheduler.timeSource,
        ).start()
        delay(60_000)
        assertTrue(sent.isEmpty())
        group.holdsLease = true
        delay(15_000)
        group.term = 2
        delay(15_000)
        group.holdsLease = false
        delay(200_000)
        assertEquals(listOf(1L, 2L), sent.map { it.order.fencingToken })
        assertEquals(1, sent.map { it.order.orderId }.distinct().size)
    }
}
