package org.arbutusrelay.daemon

import kotlin.test.Test
import kotlin.test.assertEquals

class ProcessFailureTest {
    /** Guards against a process that runs on after an error of the virtual machine, or that a request ends. */
    @Test
    fun `only an error of the virtual machine in a thread ends the process`() {
        val cases = listOf(
            OutOfMemoryError("Java heap space") to listOf(EXIT_PART_ENDED),
            InternalError("unsafe access") to listOf(EXIT_PART_ENDED),
            StackOverflowError() to emptyList(),
            AssertionError("wrong") to emptyList(),
            IllegalStateException("wrong") to emptyList(),
        )
        for ((error, expected) in cases) {
            val codes = ArrayList<Int>()
            val failure = ProcessFailure { codes += it }
            repeat(2) { failure.onUncaught("test", error) }
            assertEquals(expected, codes, "$error")
        }
    }
}
