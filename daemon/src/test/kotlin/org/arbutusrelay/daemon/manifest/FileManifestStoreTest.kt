package org.arbutusrelay.daemon.manifest

import kotlinx.coroutines.runBlocking
import org.arbutusrelay.core.manifest.ManifestText
import org.arbutusrelay.daemon.storage.PowerLossDisk
import org.arbutusrelay.schema.message.ManifestRecord
import java.nio.file.Files
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFails

class FileManifestStoreTest {
    private val folder = Files.createTempDirectory("manifest-store").resolve("not-yet-there")
    private val store = FileManifestStore(folder)

    /** Guards against a first start that cannot store a manifest because the folder does not exist. */
    @Test
    fun `a manifest is stored in a folder that does not exist yet`() = runBlocking {
        assertEquals(null, store.load())
        val record = ManifestRecord(3, ManifestText.digest("number = 3"), "number = 3")
        store.save(record)
        assertEquals(record, FileManifestStore(folder).load())
    }

    /** Guards against a host that serves a manifest, and an older one after the next loss of power. */
    @Test
    fun `a manifest that was loaded after a kill survives a loss of power`() = runBlocking {
        val records = listOf(3L, 4L).map { ManifestRecord(it, ManifestText.digest("number = $it"), "number = $it") }
        for (seed in 1L..SEEDS) {
            for (operations in 0..MAX_OPERATIONS) {
                val path = folder.resolve("$seed-$operations")
                val disk = PowerLossDisk(path, Random(seed))
                FileManifestStore(path, disk.startProcess()).save(records[0])
                val killed = FileManifestStore(path, disk.startProcess())
                killed.load()
                disk.operationsUntilKill = operations
                runCatching { killed.save(records[1]) }
                val loaded = FileManifestStore(path, disk.startProcess()).load()
                disk.losePower()
                val case = "killed after $operations operations, seed $seed"
                assertEquals(loaded, FileManifestStore(path, disk.startProcess()).load(), case)
            }
        }
    }

    /** Guards against serving requests under a corrupt manifest. */
    @Test
    fun `loading a corrupt file fails`() {
        runBlocking { store.save(ManifestRecord(3, "another digest", "number = 3")) }
        assertFails { store.load() }
    }

    private companion object {
        const val SEEDS = 8L

        /** More than the file operations of a write. */
        const val MAX_OPERATIONS = 8
    }
}
