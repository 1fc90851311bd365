package org.arbutusrelay.core.orders

import org.arbutusrelay.core.invariant.Guarantee
import org.arbutusrelay.core.invariant.InvariantViolation
import org.arbutusrelay.schema.api.EngineOrder.Action
import org.arbutusrelay.schema.manifest.Manifest
import org.arbutusrelay.schema.manifest.Placement
import org.arbutusrelay.schema.manifest.Service
import org.arbutusrelay.schema.manifest.WeightStore
import org.arbutusrelay.schema.message.BackendServerState
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

/** Guards against concurrent orders, orders from former leaders and overload of the weight store by loads. */
class OrderSchedulerTest {
    private fun server(name: String, models: List<String> = emptyList(), role: String = "general", running: Long = 0) =
        BackendServerState(
            name, "drafting", "hue", "a", "http://$name", 1, 1, 8, models, emptyList(), role, running, 0, false, 3_000,
        )

    private fun manifest(vararg placement: Placement, isFencingChecked: Boolean = true) = Manifest(
        number = 1,
        regions = emptyList(),
        services = listOf(
            Service(
                "drafting",
                Service.Type.ENGINE,
                "UTC",
                listOf("hue"),
                isFencingChecked,
                longestOrderMs = 60_000,
                kinds = emptyList(),
                placement = placement.toList(),
            ),
        ),
        callers = emptyList(),
        weightStore = WeightStore(maxLoadsPerMinute = 6),
    )

    @Test
    fun `the plan contains the changes that the placement requires`() {
        val (a, b, c) = listOf(server("a", listOf("m")), server("b"), server("c", listOf("m"), running = 2))
        val cases = listOf(
            Triple(listOf(Placement("hue", "m", 2)), listOf(a, b), listOf("LOAD b m")),
            Triple(listOf(Placement("hue", "m", 1)), listOf(a, b, c), listOf("UNLOAD a m")),
            Triple(listOf(Placement("hue", "m", 0)), listOf(a), listOf("UNLOAD a m")),
            Triple(listOf(Placement("hue", "m", 2)), listOf(a, c), emptyList()),
            Triple(listOf(Placement("hue", "m", 2)), listOf(a, b.copy(isLeaving = true)), emptyList()),
            Triple(listOf(Placement("hue", "m", 2)), listOf(a, b.copy(leaseMs = 0)), emptyList()),
            Triple(listOf(Placement("hue", "m", 1, "decode")), listOf(a, c), listOf("CHANGE_ROLE a decode")),
            Triple(listOf(Placement("da-nang", "m", 2)), listOf(a, b), emptyList()),
        )
        for ((placement, servers, expected) in cases) {
            val plan = OrderPlanner.plan(manifest(*placement.toTypedArray()).services.single(), "hue", servers)
            assertEquals(expected, plan.map { "${it.action} ${it.backendServer.name} ${it.target}" })
        }
    }

    @Test
    fun `orders without fencing are delayed by the previous lease and the longest order`() {
        for ((isFencingChecked, firstMs) in listOf(true to 10_000L, false to 61_000L)) {
            val scheduler = OrderScheduler("hue").apply { startTerm(3, nowMs = 0) }
            val manifest = manifest(Placement("hue", "m", 1), isFencingChecked = isFencingChecked)
            val first = (0L..100_000L step 500).first { scheduler.due(manifest, listOf(server("a")), it).isNotEmpty() }
            assertEquals(firstMs, first)
        }
    }

    @Test
    fun `an order without a response keeps its service busy and is retried with the same identifier`() {
        val scheduler = OrderScheduler("hue").apply { startTerm(3, nowMs = 0) }
        val manifest = manifest(Placement("hue", "m", 2))
        val servers = listOf(server("a"), server("b"))
        val first = scheduler.due(manifest, servers, 10_000).single()
        scheduler.complete(first, OrderResult.UNKNOWN, 11_000)
        assertTrue(scheduler.due(manifest, servers, 69_000).isEmpty())
        val repeated = scheduler.due(manifest, servers, 70_000).single()
        assertEquals(first.order, repeated.order)
        scheduler.complete(repeated, OrderResult.DONE, 71_000)
        val next = scheduler.due(manifest, listOf(server("a", listOf("m")), server("b")), 80_000).single()
        assertEquals("b", next.backendServer)
        val successor = OrderScheduler("hue").apply { startTerm(4, nowMs = 0) }
        assertEquals(first.order.orderId, successor.due(manifest, servers, 10_000).single().order.orderId)
    }

    @Test
    fun `a lower token violates the guarantee and a stale token ends the term`() {
        val scheduler = OrderScheduler("hue").apply { startTerm(3, nowMs = 0) }
        val manifest = manifest(Placement("hue", "m", 1))
        val order = scheduler.due(manifest, listOf(server("a")), 10_000).single()
        scheduler.complete(order, OrderResult.STALE_TOKEN, 10_001)
        assertTrue(scheduler.due(manifest, listOf(server("a")), 200_000).isEmpty())
        val violation = assertFailsWith<InvariantViolation> { scheduler.startTerm(2, 0) }
        assertEquals(Guarantee.FENCING_MONOTONIC, violation.guarantee)
    }

    @Test
    fun `in random runs orders never overlap and loads stay within the rate limit across leaders`() {
        (1..200).forEach { RandomRun(it).run() }
    }

    /** Engines without fencing, and leaders that replace each other while an order is in flight. */
    private inner class RandomRun(private val seed: Int) {
        private val random = Random(seed)
        private val manifest =
            manifest(Placement("hue", "m", 4), Placement("hue", "n", 2), isFencingChecked = false)
        private val loadedModels = List(6) { mutableSetOf<String>() }
        private val loads = mutableListOf<Long>()
        private var busyUntilMs = 0L
        private var open: Pair<DueOrder, OrderResult>? = null
        private var term = 0L
        private var scheduler = OrderScheduler("hue")

        fun run() {
            for (nowMs in 0L..1_200_000L step 500) {
                if (term == 0L || random.nextInt(400) == 0) {
                    scheduler = OrderScheduler("hue").apply { startTerm(++term, nowMs) }
                }
                open?.takeIf { nowMs >= busyUntilMs }?.let { (due, result) -> complete(due, result, nowMs) }
                val servers = loadedModels.mapIndexed { i, models -> server("s$i", models.toList()) }
                scheduler.due(manifest, servers, nowMs).forEach { send(it, nowMs) }
            }
            assertTrue(loads.zipWithNext().all { (a, b) -> b - a >= 10_000 }, "seed $seed: loads too close: $loads")
            assertTrue(loads.size > 3 && term > 1, "seed $seed: too few loads or terms")
        }

        private fun send(due: DueOrder, nowMs: Long) {
            assertTrue(nowMs >= busyUntilMs, "seed $seed: orders overlap at $nowMs")
            busyUntilMs = nowMs + random.nextLong(due.timeoutMs)
            open = due to listOf(OrderResult.DONE, OrderResult.UNKNOWN, OrderResult.REFUSED).random(random)
            if (due.order.action == Action.LOAD) loads += nowMs
        }

        private fun complete(due: DueOrder, result: OrderResult, nowMs: Long) {
            scheduler.complete(due, result, nowMs)
            loadedModels[due.backendServer.drop(1).toInt()] += due.order.target
            if (random.nextInt(3) == 0) loadedModels[random.nextInt(6)].remove("n")
            open = null
        }
    }
}
