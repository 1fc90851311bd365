package org.arbutusrelay.relay

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.netty.handler.codec.http.HttpHeaders
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.relay.dialect.AnswerFacts
import org.arbutusrelay.relay.dialect.CallDialect
import org.arbutusrelay.relay.dialect.CallFacts
import org.arbutusrelay.relay.dialect.SendFacts

/** A small dialect with headers of its own. */
internal object TestDialect : CallDialect {
    override fun readCall(headers: HttpHeaders): Either<RelayError, CallFacts> {
        val id = headers["Attempt"] ?: return RelayError(ErrorKind.MALFORMED_REQUEST).left()
        return CallFacts(id, headers["Wait-Ms"]?.toLong(), lastEventId = headers["Last-Event-Id"]?.toLong()).right()
    }

    override fun writeSend(headers: HttpHeaders, facts: SendFacts) {
        headers["Wait-Ms"] = facts.remainingMs.toString()
        facts.backendServer?.let { headers["Expect"] = it }
        facts.lastEventId?.let { headers["Last-Event-Id"] = it.toString() }
    }

    override fun readAnswer(statusCode: Int, headers: HttpHeaders): AnswerFacts = AnswerFacts(
        attemptId = headers["Attempt"],
        isNotExecuted = headers.contains("Not-Executed"),
        isSigned = headers.contains("Signature"),
    )
}
