package org.arbutusrelay.core.site

import org.arbutusrelay.schema.message.BackendLoad
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.HostState
import kotlin.test.Test
import kotlin.test.assertEquals

class SitePulsesTest {
    private val leaseMs = 6_000L

    /** The registries of one host. */
    private inner class Registries {
        val hosts = HostRegistry()
        val servers = BackendServerRegistry(leaseMs)

        fun pulse(nowMs: Long) = SitePulses.of(1, hosts, servers, nowMs, loadMaxAgeMs = 2_000)

        fun apply(from: Registries, nowMs: Long) = SitePulses.apply(from.pulse(nowMs), hosts, servers, nowMs)
    }

    private fun host(version: Long = 1, epoch: Long = 1) =
        HostState("h", "1", "1-a", epoch, version, "h:1", "", 0, 0, false, false)

    private fun server(version: Long = 1, incarnation: Long = 1, coldMs: Long = 0) = BackendServerState(
        "b", "s", "1", "1-a", "b:80", incarnation, version, 8, emptyList(), emptyList(), "", 0, 0, false,
        leaseMs = leaseMs, coldMs = coldMs,
    )

    private class Case(val name: String, val change: Registries.() -> Unit, val isComplete: Boolean)

    /** Guards against a host that never learns of what started, changed or restarted elsewhere. */
    @Test
    fun `a pulse is incomplete for a receiver that lacks a state that it names`() {
        val cases = listOf(
            Case("nothing changed", { }, true),
            Case("a newer announcement", { servers.announce(server(version = 2), 100) }, true),
            Case("a host with a newer version", { hosts.recordReport(host(version = 2), 100) }, false),
            Case("a restarted host", { hosts.recordReport(host(epoch = 2), 100) }, false),
            Case("a restarted server", { servers.announce(server(incarnation = 2), 100) }, false),
        )
        for (case in cases) {
            val (sender, receiver) = List(2) {
                Registries().apply {
                    hosts.recordReport(host(), 0)
                    servers.announce(server(), 0)
                }
            }
            case.change(sender)
            assertEquals(case.isComplete, receiver.apply(sender, 200), case.name)
        }
    }

    /** Guards against servers that expire although they announce themselves to another host. */
    @Test
    fun `a pulse extends the lease by what was announced, and not by its own arrival`() {
        val sender = Registries()
        val receiver = Registries()
        listOf(sender, receiver).forEach { it.servers.announce(server(), 0) }
        sender.servers.announce(server(version = 2), 3_000)
        for (nowMs in 3_500L..8_500L step 500) receiver.apply(sender, nowMs)
        receiver.servers.tick(8_900)
        assertEquals(1, receiver.servers.states(8_900).size)
        receiver.apply(sender, 9_000)
        receiver.servers.tick(9_001)
        assertEquals(0, receiver.servers.states(9_001).size)
    }

    /** Guards against a cold phase that an old pulse ends, and against one that a pulse does not pass on. */
    @Test
    fun `cold time and load come from the newer announcement and the newer observation`() {
        val sender = Registries()
        val receiver = Registries()
        listOf(sender, receiver).forEach { it.servers.announce(server(), 0) }
        receiver.servers.announce(server(version = 2, coldMs = 3_000), 100)
        receiver.servers.recordLoad(BackendLoad("b", 1, 7, 1, 0), 150)
        sender.servers.recordLoad(BackendLoad("b", 1, 3, 0, 0), 120)
        receiver.apply(sender, 200)
        val kept = receiver.servers.states(200).single()
        assertEquals(listOf(2_900L, 7L, 1L), listOf(kept.coldMs, kept.running, kept.queued))
        sender.servers.announce(server(version = 3, coldMs = 1_000), 300)
        sender.servers.recordLoad(BackendLoad("b", 1, 4, 2, 0), 300)
        receiver.apply(sender, 300)
        val renewed = receiver.servers.states(300).single()
        assertEquals(listOf(1_000L, 4L, 2L), listOf(renewed.coldMs, renewed.running, renewed.queued))
    }

    /** Guards against a pulse that puts a server that left, or a removed host, back in use. */
    @Test
    fun `a pulse does not restore what departed`() {
        val sender = Registries()
        val receiver = Registries()
        listOf(sender, receiver).forEach { it.servers.announce(server(), 0) }
        receiver.servers.recordDeparture("b", 1, 100)
        sender.servers.announce(server(version = 2), 200)
        receiver.apply(sender, 250)
        assertEquals(true, receiver.servers.states(250).single().isLeaving)
    }
}
