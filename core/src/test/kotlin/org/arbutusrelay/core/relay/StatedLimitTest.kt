package org.arbutusrelay.core.relay

import org.arbutusrelay.core.relay.StatedLimit.Named
import org.arbutusrelay.core.relay.StatedLimit.None
import org.arbutusrelay.core.relay.StatedLimit.Unreadable
import kotlin.test.Test
import kotlin.test.assertEquals

class StatedLimitTest {
    /** Guards against a limit that is read from something else, or ended by it. */
    @Test
    fun `a limit is a decimal number of requests a second`() {
        val cases = listOf(
            emptyList<String>() to None,
            listOf("1") to Named(1_000),
            listOf(" 2.5 ") to Named(2_500),
            listOf("0.05") to Named(50),
            listOf("0") to Named(0),
            listOf("0.0004") to Named(0),
            listOf("007") to Named(7_000),
            listOf("9".repeat(300)) to Named(StatedLimit.MAX_PERMILLE),
            listOf("9".repeat(500)) to Unreadable,
            listOf("-1") to Unreadable,
            listOf("+1") to Unreadable,
            listOf("1e3") to Unreadable,
            listOf(".5") to Unreadable,
            listOf("NaN") to Unreadable,
            listOf("Infinity") to Unreadable,
            listOf("") to Unreadable,
            listOf("1, 2") to Unreadable,
            listOf("1 per second") to Unreadable,
            listOf("5", "2") to Named(2_000),
            listOf("5", "x") to Named(5_000),
            listOf("x", "") to Unreadable,
        )
        for ((values, expected) in cases) assertEquals(expected, StatedLimit.parse(values), "$values")
    }
}
