package org.arbutusrelay.daemon.consensus

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlinx.coroutines.test.TestDispatcher
import kotlin.coroutines.CoroutineContext

/** Runs the storage of a replica in virtual time; each write starts after the time [syncMs], and not in a stall. */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
internal class DiskDispatcher(private val inner: TestDispatcher, private val syncMs: () -> Long) :
    CoroutineDispatcher(),
    Delay by inner {
    /** Until then the disk performs nothing, in virtual time. */
    var stalledUntilMs = 0L

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        val waitMs = maxOf(stalledUntilMs - inner.scheduler.currentTime, 0) + syncMs()
        if (waitMs > 0) inner.invokeOnTimeout(waitMs, block, context) else inner.dispatch(context, block)
    }
}
