package org.arbutusrelay.core.ledger

import org.arbutusrelay.schema.message.Attempt
import org.arbutusrelay.schema.message.LedgerKey
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Callers, entry hosts, backend servers and two region ledgers in virtual time. */
internal class LedgerWorld(seed: Int, faults: LedgerFaults = LedgerFaults()) {
    val time = VirtualTime(seed)
    var hasFailures = true
        private set
    private val limits = LedgerLimits(retentionMs = RETENTION_MS, graceMs = 5_000)
    private val ledgers = REGIONS.associateWith { FakeLedgerGroup(it, time, limits, faults, ::ledger) }
    private val hosts = List(4) { FakeEntryHost("host-$it", time, this, faults) }
    private val homes = CALLERS.associateWith { CallerHome(REGIONS.first()) }.toMutableMap()
    private val runs = HashMap<LedgerKey, MutableList<Attempt>>()

    /** Responses whose finish was acknowledged by the last ledger that the entry host was sent to. */
    val stored = HashMap<LedgerKey, String>()
    private val toldNotRun = HashSet<Attempt>()
    private var manifestNumber = 1L

    fun ledger(region: String): FakeLedgerGroup = ledgers.getValue(region)

    fun isLedgerDown(): Boolean = ledgers.values.any { !it.hasLeader }

    fun onReplaced(hostName: String, oldEpoch: Long) {
        ledgers.values.forEach { if (!time.happens(30)) it.onReplaced(hostName, oldEpoch) }
    }

    /** Runs everything, lets the retention pass, and checks that the ledgers are empty. */
    fun run() {
        homes.forEach { (caller, home) -> adopt(caller, home) }
        repeat(60) { i -> time.after(time.random.nextLong(ACTIVE_MS)) { call(newKey(i), 0) } }
        repeat(4) { time.after(time.random.nextLong(ACTIVE_MS)) { moveHome() } }
        tick()
        time.runUntil(ACTIVE_MS + 60_000)
        hasFailures = false
        ledgers.values.forEach { it.hasFailures = false }
        time.runUntil(ACTIVE_MS + 120_000)
        ledgers.forEach { (region, ledger) ->
            val state = ledger.machine.state
            assertTrue(state.open.isEmpty(), "open grants remain in $region at ${state.timeMs}: ${state.open.values}")
        }
        homes.forEach { (caller, home) ->
            assertTrue(ledger(home.region).isOpen(caller), "the hand-over of $caller did not end")
        }
        stored.forEach { (key, body) -> checkStored(key, body) }
        time.runUntil(ACTIVE_MS + 3 * RETENTION_MS)
        ledgers.values.forEach { assertEquals(0, it.machine.state.recordCount, "records remain") }
    }

    /** An entry that may move everywhere is with the present home; another one is where its chain of moves left it. */
    private fun checkStored(key: LedgerKey, body: String) {
        val home = homes.getValue(key.caller).region
        val places = if (key.service == "shared") listOf(ledger(home)) else ledgers.values
        val bodies = places.mapNotNull { it.machine.state.entries[key]?.response?.body?.decodeToString() }
        assertTrue(body in bodies, "the stored response of $key is lost: $bodies")
    }

    fun backend(key: LedgerKey, digest: String, attempt: Attempt, result: (RunResult) -> Unit) {
        if (time.happens(10)) {
            time.count("backend server refused")
            return time.after(5) { result(RunResult.Refused) }
        }
        val isLostBefore = time.happens(5)
        val isLostAfter = time.happens(8)
        time.after(time.random.nextLong(1, 50)) {
            if (!isLostBefore) ran(key, attempt)
            time.after(time.random.nextLong(10, 3_000)) {
                if (isLostBefore || isLostAfter) time.count("backend server connection broken")
                result(if (isLostBefore || isLostAfter) RunResult.Broken else RunResult.Ran("$key $digest"))
            }
        }
    }

    private fun ran(key: LedgerKey, attempt: Attempt) {
        time.log("run $key $attempt")
        val attempts = runs.getOrPut(key, ::mutableListOf).apply { add(attempt) }
        assertEquals(1, attempts.size, "$key ran twice: $attempts")
        assertTrue(attempt !in toldNotRun, "$attempt ran after its caller was told not_run")
    }

    private fun call(key: LedgerKey, tries: Int) {
        if (tries > 12) return
        val digest = if (time.happens(8)) "other" else "body"
        var isAnswered = false
        val again = { delayMs: Long -> time.after(delayMs) { call(key, tries + 1) } }
        hosts.random(time.random).accept(key, digest) { answer ->
            isAnswered = true
            check(key, digest, answer)
            if (answer.outcome != "ran" || time.happens(30)) again(time.random.nextLong(1, 4_000))
        }
        if (time.happens(5)) {
            time.count("caller sends twice at once")
            hosts.random(time.random).accept(key, digest) { check(key, digest, it) }
        }
        time.after(12_000) { if (!isAnswered) again(1) }
    }

    private fun check(key: LedgerKey, digest: String, answer: Answer) {
        time.count("caller told ${answer.outcome}")
        time.log("told $key $answer")
        if (answer.outcome == "not_run") {
            toldNotRun += answer.attempt
            assertTrue(runs[key].orEmpty().none { it == answer.attempt }, "${answer.attempt} ran, told not_run")
        }
        answer.body?.let { assertEquals("$key $digest", it, "a response belongs to another request") }
    }

    private fun moveHome() {
        val caller = CALLERS.random(time.random)
        val home = homes.getValue(caller)
        val to = REGIONS.filter { it != home.region }.random(time.random)
        val moved = CallerHome(to, home.moves + HomeMove(++manifestNumber, home.region, to))
        time.count("home moved")
        time.log("move $caller to $to by $manifestNumber")
        homes[caller] = moved
        adopt(caller, moved)
    }

    /** Hosts and ledger leaders learn of a manifest at different times, and skip older ones. */
    private fun adopt(caller: String, home: CallerHome) {
        val delay = { if (home.moves.isEmpty()) 0L else time.random.nextLong(1, 5_000) }
        hosts.forEach { host ->
            time.after(delay()) { if (homes[caller] == home) host.homes[caller] = home.region }
        }
        ledgers.values.forEach { ledger ->
            time.after(delay()) { if (homes[caller] == home) ledger.homes[caller] = home }
        }
    }

    private fun tick() {
        ledgers.values.forEach { it.tick() }
        time.after(1_000, ::tick)
    }

    private fun newKey(number: Int) = LedgerKey(CALLERS[number % CALLERS.size], "key-$number")

    private companion object {
        private val REGIONS = listOf("hue", "da-nang", "quang-tri")
        private val CALLERS = listOf("registry", "utility", "district")
        private const val ACTIVE_MS = 120_000L
        private const val RETENTION_MS = 600_000L
    }
}
