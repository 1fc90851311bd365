package org.arbutusrelay.core.ledger

import org.arbutusrelay.schema.message.Attempt
import org.arbutusrelay.schema.message.LedgerKey
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Simulates callers, entry hosts, backend servers and the ledgers of three regions in virtual time. */
internal class LedgerSimulation(seed: Int, faults: LedgerFaults = LedgerFaults()) {
    val time = VirtualTime(seed)
    var hasFailures = true
        private set
    private val limits = LedgerLimits(retentionMs = RETENTION_MS, graceMs = 5_000)
    private val ledgers = REGIONS.associateWith { FakeLedgerGroup(it, time, limits, faults, ::ledger) }
    private val hosts = List(4) { FakeEntryHost("host-$it", time, this, faults) }
    private val homes = CALLERS.associateWith { CallerHome(REGIONS.first()) }.toMutableMap()
    private val runs = HashMap<LedgerKey, MutableList<Attempt>>()

    /** Response bodies whose finish command was acknowledged by the last ledger that the entry host sent it to. */
    val stored = HashMap<LedgerKey, String>()
    private val reportedNotRun = HashSet<Attempt>()
    private var manifestNumber = 1L

    fun ledger(region: String): FakeLedgerGroup = ledgers.getValue(region)

    fun isLedgerDown(): Boolean = ledgers.values.any { !it.hasLeader }

    fun onHostRestart(hostName: String, oldEpoch: Long) {
        ledgers.values.forEach { if (!time.chance(30)) it.onHostRestart(hostName, oldEpoch) }
    }

    /** Runs with faults and then without, and checks that the ledgers are empty after the retention. */
    fun run() {
        homes.forEach { (caller, home) -> publishHome(caller, home) }
        repeat(60) { i -> time.after(time.random.nextLong(ACTIVE_MS)) { sendRequest(newKey(i), 0) } }
        repeat(4) { time.after(time.random.nextLong(ACTIVE_MS)) { moveHome() } }
        tick()
        time.runUntil(ACTIVE_MS + 60_000)
        hasFailures = false
        ledgers.values.forEach { it.hasFailures = false }
        time.runUntil(ACTIVE_MS + 120_000)
        ledgers.forEach { (region, ledger) ->
            val state = ledger.machine.state
            assertTrue(
                state.openGrants.isEmpty(),
                "open grants remain in $region at ${state.timeMs}: ${state.openGrants.values}",
            )
        }
        homes.forEach { (caller, home) ->
            assertTrue(ledger(home.region).isHandOverComplete(caller), "the hand-over of $caller did not complete")
        }
        stored.forEach { (key, body) -> checkStored(key, body) }
        time.runUntil(ACTIVE_MS + 3 * RETENTION_MS)
        ledgers.values.forEach { assertEquals(0, it.machine.state.recordCount, "records remain") }
    }

    /** An entry allowed in every region must be in the current home; any other entry may be in any former home. */
    private fun checkStored(key: LedgerKey, body: String) {
        val home = homes.getValue(key.caller).region
        val candidates = if (key.service == "shared") listOf(ledger(home)) else ledgers.values
        val bodies = candidates.mapNotNull { it.machine.state.entries[key]?.response?.body?.decodeToString() }
        assertTrue(body in bodies, "the stored response of $key is lost: $bodies")
    }

    fun runOnBackend(key: LedgerKey, digest: String, attempt: Attempt, result: (RunResult) -> Unit) {
        if (time.chance(10)) {
            time.count("backend server refused")
            return time.after(5) { result(RunResult.Refused) }
        }
        val isLostBefore = time.chance(5)
        val isLostAfter = time.chance(8)
        time.after(time.random.nextLong(1, 50)) {
            if (!isLostBefore) recordRun(key, attempt)
            time.after(time.random.nextLong(10, 3_000)) {
                if (isLostBefore || isLostAfter) time.count("backend server connection broken")
                result(if (isLostBefore || isLostAfter) RunResult.Broken else RunResult.Ran("$key $digest"))
            }
        }
    }

    private fun recordRun(key: LedgerKey, attempt: Attempt) {
        time.log("run $key $attempt")
        val attempts = runs.getOrPut(key, ::mutableListOf).apply { add(attempt) }
        assertEquals(1, attempts.size, "$key ran twice: $attempts")
        assertTrue(attempt !in reportedNotRun, "$attempt ran after it was reported as not_run")
    }

    private fun sendRequest(key: LedgerKey, retries: Int) {
        if (retries > 12) return
        val digest = if (time.chance(8)) "other" else "body"
        var hasResponse = false
        val retry = { delayMs: Long -> time.after(delayMs) { sendRequest(key, retries + 1) } }
        hosts.random(time.random).accept(key, digest) { response ->
            hasResponse = true
            check(key, digest, response)
            if (response.outcome != "ran" || time.chance(30)) retry(time.random.nextLong(1, 4_000))
        }
        if (time.chance(5)) {
            time.count("caller sends a concurrent duplicate")
            hosts.random(time.random).accept(key, digest) { check(key, digest, it) }
        }
        time.after(12_000) { if (!hasResponse) retry(1) }
    }

    private fun check(key: LedgerKey, digest: String, response: CallerResponse) {
        time.count("caller received ${response.outcome}")
        time.log("response $key $response")
        if (response.outcome == "not_run") {
            reportedNotRun += response.attempt
            assertTrue(
                runs[key].orEmpty().none { it == response.attempt },
                "${response.attempt} ran but was reported as not_run",
            )
        }
        response.body?.let { assertEquals("$key $digest", it, "a response belongs to another request") }
    }

    private fun moveHome() {
        val caller = CALLERS.random(time.random)
        val home = homes.getValue(caller)
        val to = REGIONS.filter { it != home.region }.random(time.random)
        val newHome = CallerHome(to, home.moves + HomeMove(++manifestNumber, home.region, to))
        time.count("home moved")
        time.log("move $caller to $to by $manifestNumber")
        homes[caller] = newHome
        publishHome(caller, newHome)
    }

    /** Publishes a home to hosts and ledger leaders with random delays; a host skips it when it is outdated by then. */
    private fun publishHome(caller: String, home: CallerHome) {
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
