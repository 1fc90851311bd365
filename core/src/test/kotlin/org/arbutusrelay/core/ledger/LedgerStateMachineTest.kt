package org.arbutusrelay.core.ledger

import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.schema.message.Attempt
import org.arbutusrelay.schema.message.LedgerCommand
import org.arbutusrelay.schema.message.LedgerExpire
import org.arbutusrelay.schema.message.LedgerFence
import org.arbutusrelay.schema.message.LedgerFinish
import org.arbutusrelay.schema.message.LedgerGrant
import org.arbutusrelay.schema.message.LedgerImport
import org.arbutusrelay.schema.message.LedgerKey
import org.arbutusrelay.schema.message.LedgerRelease
import org.arbutusrelay.schema.message.LedgerReply.Decision
import org.arbutusrelay.schema.message.LedgerSettle
import org.arbutusrelay.schema.message.ReplicatedCommand
import org.arbutusrelay.schema.message.StoredResponse
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against a wrong decision for a sequence of commands and against exceeded ledger limits. */
class LedgerStateMachineTest {
    private val key = LedgerKey("registry", "key")
    private val first = Attempt("hue-1", 7, 1)
    private val second = Attempt("hue-2", 8, 1)
    private val limits = LedgerLimits(retentionMs = 1_000, graceMs = 10, maxResponseBytes = 4, maxRecords = 3)

    private fun grant(attempt: Attempt, digest: String = "d") =
        LedgerCommand(0, grant = LedgerGrant(key, attempt, digest, deadlineMs = 100))

    private fun finish(attempt: Attempt, body: String = "ok") =
        LedgerCommand(0, finish = LedgerFinish(key, attempt, StoredResponse(200, "text/plain", body.toByteArray())))

    private fun release(attempt: Attempt) = LedgerCommand(0, release = LedgerRelease(key, attempt))

    private fun settle(attempt: Attempt) = LedgerCommand(0, settle = LedgerSettle(key, attempt))

    private fun fence(number: Long, importFrom: String? = null) =
        LedgerCommand(0, fence = LedgerFence("registry", number, isFenced = true, importFrom))

    private fun import(number: Long) = LedgerCommand(0, imported = LedgerImport("registry", number, emptyList(), true))

    private fun LedgerStateMachine.apply(command: LedgerCommand) =
        apply(1, ReplicatedCommand(ledger = command)).decision

    @Test
    fun `the last command of a sequence gets the expected decision`() {
        val cases = listOf(
            listOf(grant(first)) to Decision.GRANTED,
            listOf(grant(first), grant(first)) to Decision.GRANTED,
            listOf(grant(first), grant(second)) to Decision.IN_PROGRESS,
            listOf(grant(first), grant(second, "other")) to Decision.BODY_MISMATCH,
            listOf(grant(first), finish(first), grant(second)) to Decision.FINISHED,
            listOf(grant(first), finish(second)) to Decision.NOT_OWNER,
            listOf(finish(first)) to Decision.ABSENT,
            listOf(grant(first), release(first), grant(second)) to Decision.GRANTED,
            listOf(grant(first), release(second), grant(second)) to Decision.RELEASED,
            listOf(release(first), grant(first)) to Decision.RELEASED,
            listOf(grant(first), release(first), finish(first)) to Decision.ABSENT,
            listOf(grant(first), finish(first), release(first)) to Decision.FINISHED,
            listOf(grant(first), settle(first), release(first)) to Decision.UNKNOWN,
            listOf(grant(first), settle(first), grant(second)) to Decision.UNKNOWN,
            listOf(grant(first), settle(first), finish(first)) to Decision.FINISHED,
            listOf(grant(first), settle(second)) to Decision.NOT_OWNER,
            listOf(settle(first)) to Decision.ABSENT,
            listOf(fence(2), grant(first)) to Decision.FENCED,
            listOf(fence(2), import(2)) to Decision.FENCED,
            listOf(fence(2, "hue"), import(1)) to Decision.FENCED,
            listOf(fence(2, "hue"), import(2), grant(first)) to Decision.GRANTED,
            listOf(fence(2, "hue"), fence(3), import(2), grant(first)) to Decision.GRANTED,
            listOf(grant(first), fence(2), finish(first)) to Decision.FINISHED,
        )
        for ((commands, expected) in cases) {
            val machine = LedgerStateMachine(limits, Invariants(isFatal = true))
            assertEquals(expected, commands.map { machine.apply(it) }.last(), "$commands")
        }
    }

    @Test
    fun `a response body over the size limit is not stored`() {
        val machine = LedgerStateMachine(limits)
        listOf(grant(first), finish(first, "too long")).forEach { machine.apply(it) }
        assertEquals(false, machine.state.entries.getValue(key).response?.isBodyStored)
        assertEquals(0, machine.state.storedBytes)
    }

    @Test
    fun `a full ledger refuses grants until records expire`() {
        val machine = LedgerStateMachine(limits)
        repeat(3) { machine.apply(release(Attempt("hue-1", 7, it.toLong()))) }
        assertEquals(Decision.NO_LEADER, machine.apply(grant(second)))
        machine.apply(LedgerCommand(1_001, expire = LedgerExpire(5_000)))
        assertEquals(0, machine.state.recordCount)
        assertEquals(Decision.GRANTED, machine.apply(grant(second)))
    }

    @Test
    fun `expiry keeps open grants and records within the retention`() {
        val machine = LedgerStateMachine(limits)
        machine.apply(grant(first))
        machine.apply(LedgerCommand(10_000, expire = LedgerExpire(10_000)))
        assertTrue(key in machine.state.openGrants)
        machine.apply(settle(first))
        machine.apply(LedgerCommand(11_000, expire = LedgerExpire(20_000)))
        assertEquals(1, machine.state.entries.size)
        machine.apply(LedgerCommand(11_001, expire = LedgerExpire(20_000)))
        assertEquals(0, machine.state.entries.size)
    }

    @Test
    fun `ledger time stays monotonic across leaders with unrelated clocks`() {
        val clock = LedgerClock()
        val state = LedgerState(timeMs = 500)
        assertEquals(500, clock.atMs(1, state, nowMs = 9_000))
        assertEquals(700, clock.atMs(1, state, nowMs = 9_200))
        assertEquals(700, clock.atMs(2, state, nowMs = 3))
        assertEquals(701, clock.atMs(2, state, nowMs = 4), "ledger time stalls after the host is elected a second time")
        assertEquals(900, LedgerClock().atMs(3, state.copy(timeMs = 900), nowMs = 12))
    }
}
