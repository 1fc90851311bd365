package org.arbutusrelay.core.tenancy

/** Finds tenants by their keys and names. The table is immutable; a new document replaces it as a whole. */
public class TenantTable(tenants: List<Tenant>) {
    /** All tenants, in the order of the document. */
    public val tenants: List<Tenant> = tenants.toList()
    private val byKey: Map<String, Tenant> = tenants.flatMap { tenant -> tenant.keys.map { it to tenant } }.toMap()
    private val byName: Map<String, Tenant> = tenants.associateBy { it.name }

    /** Returns the tenant that holds [key], or null. */
    public fun find(key: String): Tenant? = byKey[key]

    /** Returns the tenant with the given [name], or null. */
    public fun named(name: String): Tenant? = byName[name]

    public companion object {
        /** Returns the validation errors of [tenants], one line each; no line contains a key. */
        public fun problems(tenants: List<Tenant>): List<String> = buildList {
            val holders = HashMap<String, String>()
            val names = HashSet<String>()
            for (tenant in tenants) {
                if (tenant.name.isEmpty()) add("a tenant has no name")
                if (!isHeaderValue(tenant.name)) add("tenant ${tenant.name}: the name does not fit in a header")
                if (!names.add(tenant.name)) add("tenant ${tenant.name}: another tenant has this name")
                if (tenant.keys.any { it.isEmpty() }) add("tenant ${tenant.name}: a key is empty")
                for (key in tenant.keys) {
                    val other = holders.putIfAbsent(key, tenant.name)
                    if (other != null) add("tenant ${tenant.name}: shares a key with tenant $other")
                }
                if (tenant.priority != null && tenant.priority < 0) add("tenant ${tenant.name}: priority is negative")
                tenant.quota?.let { addAll(problems(tenant.name, it)) }
            }
        }

        private fun problems(name: String, quota: TokenQuota): List<String> = buildList {
            val figures =
                mapOf("rate" to quota.ratePerSecond, "burst" to quota.burst, "plain" to quota.plainTokens.toDouble())
            for ((figure, value) in figures) {
                if (!value.isFinite() || value < 0 || value > MAX_TOKENS) {
                    add("tenant $name: the $figure of the quota is not in 0..${MAX_TOKENS.toLong()}")
                }
            }
        }

        private fun isHeaderValue(name: String) = name.all { it in ' '..'~' } && name == name.trim()

        /** Tokens are added up; a trillion is far above those in use. */
        private const val MAX_TOKENS = 1e12
    }
}
