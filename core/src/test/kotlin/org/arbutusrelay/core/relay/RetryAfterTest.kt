package org.arbutusrelay.core.relay

import kotlin.test.Test
import kotlin.test.assertEquals

class RetryAfterTest {
    /** Guards against a header that ends in an exception, or in a server that is never used again. */
    @Test
    fun `odd values are no pause and long ones are limited`() {
        val cases = listOf(
            listOf("2") to 2_000L,
            listOf(" 0.25 ") to 250L,
            listOf("0") to 0L,
            listOf("0.0001") to 0L,
            listOf("1", "3", "2") to 3_000L,
            listOf("x", "1") to 1_000L,
            listOf("999999") to RetryAfter.MAX_MS,
            listOf("9".repeat(300)) to RetryAfter.MAX_MS,
            listOf("9".repeat(400)) to RetryAfter.MAX_MS,
            listOf("0.${"3".repeat(300)}") to 333L,
            listOf("9".repeat(401)) to null,
            listOf("-1") to null,
            listOf("NaN") to null,
            listOf("Infinity") to null,
            listOf("1e3") to null,
            listOf("1f") to null,
            listOf(".5") to null,
            listOf("Sat, 05 Dec 2026 21:00:00 GMT") to null,
            listOf("1, 2") to null,
            listOf("") to null,
            emptyList<String>() to null,
        )
        for ((values, expected) in cases) assertEquals(expected, RetryAfter.parseMs(values), "$values")
    }
}
