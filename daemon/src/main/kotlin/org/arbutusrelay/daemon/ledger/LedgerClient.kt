package org.arbutusrelay.daemon.ledger

import arrow.core.Either
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.schema.message.Attempt
import org.arbutusrelay.schema.message.LedgerFinish
import org.arbutusrelay.schema.message.LedgerGrant
import org.arbutusrelay.schema.message.LedgerKey
import org.arbutusrelay.schema.message.LedgerRelease
import org.arbutusrelay.schema.message.LedgerReply

/** Client of the at-most-once ledgers of all regions. */
public interface LedgerClient {
    /**
     * Requests a grant for an attempt from the ledger of [homeRegion].
     *
     * The attempt may be sent to a backend server only after a reply with the decision `granted`. When this returns an
     * error, the implementation keeps sending a release for the attempt until it is acknowledged.
     */
    public suspend fun grant(homeRegion: String, grant: LedgerGrant): Either<RelayError, LedgerReply>

    /** Polls the ledger until another attempt of [key] has ended, for at most [timeoutMs]. */
    public suspend fun awaitEnd(homeRegion: String, key: LedgerKey, timeoutMs: Long): Either<RelayError, LedgerReply>

    /** Releases the grant of an attempt that did not run; retried in the background until acknowledged. */
    public fun release(homeRegion: String, release: LedgerRelease)

    /**
     * Stores the response of an attempt and returns true once it is committed.
     *
     * Returns false when the ledger does not reply within [timeoutMs]; the command is then retried in the background.
     */
    public suspend fun finish(homeRegion: String, finish: LedgerFinish, timeoutMs: Long): Boolean

    /** Marks the open grant of an attempt of this process as unknown; retried in the background. */
    public fun settle(homeRegion: String, key: LedgerKey, attempt: Attempt)
}
