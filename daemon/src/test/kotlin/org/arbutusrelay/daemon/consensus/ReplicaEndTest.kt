package org.arbutusrelay.daemon.consensus

import arrow.core.Either
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import org.arbutusrelay.core.consensus.ConsensusEffect
import org.arbutusrelay.daemon.storage.ConsensusStorage
import org.arbutusrelay.daemon.storage.MemoryConsensusStorage
import org.arbutusrelay.daemon.storage.StorageError
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

class ReplicaEndTest {
    /** Guards against a process that runs on, and remains a voter, without its replica. */
    @Test
    fun `a replica that ends by an error is reported once and a stopped one is not`() = runTest {
        data class Case(val name: String, val error: Throwable?, val isInStorage: Boolean, val reports: Int)
        val cases = listOf(
            Case("stopped", null, isInStorage = false, reports = 0),
            Case("violated invariant", IllegalStateException("log"), isInStorage = false, reports = 1),
            Case("error in the driver", OutOfMemoryError("heap"), isInStorage = false, reports = 1),
            Case("exception in the driver", IllegalArgumentException("state"), isInStorage = false, reports = 1),
            Case("error in the writer", OutOfMemoryError("heap"), isInStorage = true, reports = 1),
            Case("exception in the writer", IllegalStateException("not loaded"), isInStorage = true, reports = 1),
        )
        for (case in cases) {
            val fixture = ReplicaGroupFixture(listOf("a"))
            val storage = ThrowingStorage()
            val reports = ArrayList<String>()
            val replica = fixture.startReplica(this, "a", storage, listOf("a"), onFailure = { reports += it })
            try {
                fixture.awaitLeader(listOf(replica))
                if (case.isInStorage) {
                    storage.error = case.error
                } else {
                    fixture.stateMachines.getValue("a").error =
                        case.error
                }
                withTimeoutOrNull(1_000) { replica.propose(fixture.command(1)) }
                delay(1_000)
                assertEquals(case.reports, reports.size, "$case: $reports")
                if (case.error != null) assertNotNull(replica.failure, "$case")
            } finally {
                replica.stop()
            }
            assertEquals(case.reports, reports.size, "$case after the stop: $reports")
        }
    }

    private class ThrowingStorage(private val inner: MemoryConsensusStorage = MemoryConsensusStorage()) :
        ConsensusStorage by inner {
        var error: Throwable? = null

        override fun write(writes: List<ConsensusEffect.Persist>): Either<StorageError, Unit> {
            error?.let { throw it }
            return inner.write(writes)
        }
    }
}
