package org.arbutusrelay.core.consensus

import kotlin.test.Test
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class ConsensusExplorerTest {
    /** Guards against a violation by a short sequence of events that the randomised simulation does not produce. */
    @Test
    fun `no sequence of events within the bounds violates safety`() {
        for (bounds in listOf(ExplorerBounds(depth = 11), ExplorerBounds(depth = 11, crashes = 0, proposals = 1))) {
            val result = ConsensusExplorer(bounds).explore()
            println("$bounds: $result")
            assertNull(result.violation)
        }
    }

    /** Guards against an explorer that detects no violations. */
    @Test
    fun `a vote that is not persisted is detected`() {
        val defect = object : Defect() {
            override fun write(persist: ConsensusEffect.Persist) = persist.copy(vote = null)
        }
        val result = ConsensusExplorer(ExplorerBounds(depth = 11), defect).explore()
        println("vote not persisted: $result")
        assertNotNull(result.violation)
    }
}
