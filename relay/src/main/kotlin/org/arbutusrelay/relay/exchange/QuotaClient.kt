package org.arbutusrelay.relay.exchange

import org.arbutusrelay.core.tenancy.Tenant

/** Result of asking for a part of a tenant's quota. */
internal sealed interface QuotaResult {
    data object Granted : QuotaResult

    /** The tenant is beyond its quota; [retryAfterMs] is the time after which it is expected not to be. */
    data class Exceeded(val retryAfterMs: Long) : QuotaResult

    /** No host that counts the quota could be asked. */
    data object Unavailable : QuotaResult
}

/** Counts what tenants use of their quotas, over all hosts together. */
internal interface QuotaClient {
    /** Asks for [tokens] of the quota of [tenant] and calls [onResult] once, on the event loop. */
    fun acquire(tenant: Tenant, tokens: Long, onResult: (QuotaResult) -> Unit)

    /** Gives back [tokens] that were granted for a request that did not run. */
    fun giveBack(tenant: Tenant, tokens: Long)

    /** Grants everything. */
    object Unlimited : QuotaClient {
        override fun acquire(tenant: Tenant, tokens: Long, onResult: (QuotaResult) -> Unit) =
            onResult(QuotaResult.Granted)

        override fun giveBack(tenant: Tenant, tokens: Long): Unit = Unit
    }
}
