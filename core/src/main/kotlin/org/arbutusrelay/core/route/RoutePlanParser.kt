package org.arbutusrelay.core.route

import arrow.core.Either
import org.arbutusrelay.core.error.RelayError

/** Reads an operator's document; the format is that of the deployment. */
public fun interface RoutePlanParser {
    /** Returns the plan, or `MANIFEST_INVALID` with everything that is wrong with the document. */
    public fun parse(content: ByteArray): Either<RelayError, RoutePlan>
}
