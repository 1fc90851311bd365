package org.arbutusrelay.daemon.ledger

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.arbutusrelay.core.ledger.LedgerRules
import org.arbutusrelay.core.ledger.LedgerState
import org.arbutusrelay.schema.message.LedgerExport
import org.arbutusrelay.schema.message.LedgerImport

/** Imports the entries of callers whose home moved to this region, from the ledgers of their former home regions. */
public class LedgerHandOver(
    private val region: String,
    private val service: LedgerService,
    private val client: LinkLedgerClient,
    private val scope: CoroutineScope,
) {
    /** Starts to run due imports once a second, until [scope] ends. */
    public fun start() {
        service.formerHomes = FormerHomes(client::queryFormerHome)
        scope.launch {
            while (true) {
                delay(IMPORT_INTERVAL_MS)
                service.dueImports().forEach { import(it) }
            }
        }
    }

    /** Imports all batches of one caller; returns false when the import must restart from the first batch. */
    internal suspend fun import(due: DueImport): Boolean {
        var afterKey: String? = null
        while (true) {
            val request = LedgerExport(due.caller, due.manifestNumber, region, afterKey)
            val reply = client.export(due.fromRegion, request, EXPORT_TIMEOUT_MS) ?: return false
            val batch = reply.exported ?: return false
            if (!service.commitImport(reply)) return false
            if (batch.isLast) return true
            afterKey = batch.entries.last().key.idempotencyKey
        }
    }

    private companion object {
        private const val IMPORT_INTERVAL_MS = 1_000L
        private const val EXPORT_TIMEOUT_MS = 2_000L
    }
}

/** A caller whose entries are to be imported. */
internal data class DueImport(val caller: String, val manifestNumber: Long, val fromRegion: String)

/** Returns the next batch of movable entries, or null while the caller is not fenced here; other entries stay. */
internal fun exportBatch(
    rules: LedgerRules,
    state: LedgerState,
    export: LedgerExport,
    isAllowed: (String) -> Boolean,
): LedgerImport? {
    val exportable = rules.export(state, export.caller, export.manifestNumber, export.region, isAllowed) ?: return null
    val afterKey = export.afterKey
    val remaining =
        exportable.movable
            .filter { afterKey == null || it.key.idempotencyKey > afterKey }
            .sortedBy { it.key.idempotencyKey }
    var bytes = 0L
    val batch =
        remaining.takeWhile {
            bytes += ENTRY_OVERHEAD_BYTES + (it.response?.body?.size ?: 0)
            bytes <= MAX_BATCH_BYTES
        }
    return LedgerImport(
        export.caller,
        export.manifestNumber,
        batch,
        batch.size == remaining.size,
        exportable.heldIn,
        exportable.heldForMs,
    )
}

/** Half of the maximum frame size; one stored response of the maximum size always fits. */
private const val MAX_BATCH_BYTES = 512 * 1024
private const val ENTRY_OVERHEAD_BYTES = 512
