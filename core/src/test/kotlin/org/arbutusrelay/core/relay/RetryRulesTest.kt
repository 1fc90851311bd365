package org.arbutusrelay.core.relay

import org.arbutusrelay.core.route.Route
import org.arbutusrelay.core.route.RouteKind
import org.arbutusrelay.core.route.RouteTarget
import kotlin.test.Test
import kotlin.test.assertEquals

class RetryRulesTest {
    private fun route(kind: RouteKind, isResumable: Boolean = false, maxAttempts: Int = 2) =
        Route("r", "a", "/", kind, 1_000, 300, 0, listOf(RouteTarget("s", 1)), maxAttempts, isResumable, emptyList())

    /** Guards against a retry that the route does not allow, and against an allowed retry that is not made. */
    @Test
    fun `a request is retried only if its route allows it`() {
        val idempotent = route(RouteKind.IDEMPOTENT)
        val once = route(RouteKind.AT_MOST_ONCE)
        val stream = route(RouteKind.STREAM)
        val resumable = route(RouteKind.STREAM, isResumable = true)
        data class Case(
            val route: Route,
            val failure: AttemptFailure,
            val isRetried: Boolean,
            val runs: Int = 1,
            val attempts: Int = 1,
            val isStarted: Boolean = false,
            val remainingMs: Long = 1_000,
        )
        val cases = listOf(
            Case(idempotent, AttemptFailure.UNKNOWN, true),
            Case(idempotent, AttemptFailure.UNKNOWN, false, runs = 2, attempts = 2),
            Case(idempotent, AttemptFailure.UNKNOWN, false, isStarted = true),
            Case(idempotent, AttemptFailure.UNKNOWN, false, remainingMs = 10),
            Case(idempotent, AttemptFailure.RAN_AND_FAILED, true),
            Case(idempotent.copy(maxAttempts = 1), AttemptFailure.RAN_AND_FAILED, false),
            Case(once, AttemptFailure.UNKNOWN, false),
            Case(once, AttemptFailure.SILENT, false),
            Case(once, AttemptFailure.RAN_AND_FAILED, false),
            Case(once, AttemptFailure.NOT_SENT, true, runs = 0),
            Case(once, AttemptFailure.NOT_EXECUTED, true, runs = 0),
            Case(once, AttemptFailure.NOT_EXECUTED, false, runs = 0, attempts = RetryRules.MAX_UNEXECUTED_ATTEMPTS),
            Case(stream, AttemptFailure.UNKNOWN, false),
            Case(resumable, AttemptFailure.UNKNOWN, true, isStarted = true),
            Case(resumable, AttemptFailure.SILENT, true, isStarted = true),
            Case(resumable, AttemptFailure.RAN_AND_FAILED, false),
            Case(resumable, AttemptFailure.UNKNOWN, false, runs = 2, attempts = 2),
        )
        for (case in cases) {
            val verdict = RetryRules.decide(
                RetryContext(case.route, case.failure, case.runs, case.attempts, case.isStarted, case.remainingMs),
            )
            assertEquals(if (case.isRetried) RetryVerdict.RETRY else RetryVerdict.GIVE_UP, verdict, "$case")
        }
    }
}
