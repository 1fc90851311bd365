package org.arbutusrelay.core.route

import arrow.core.Either
import org.arbutusrelay.core.error.RelayError

/** Parses an operator's document, whose format depends on the deployment. */
public fun interface RoutePlanParser {
    /** Returns the plan, or a `MANIFEST_INVALID` error that lists all errors of the document. */
    public fun parse(content: ByteArray): Either<RelayError, RoutePlan>
}
