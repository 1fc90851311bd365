package org.arbutusrelay.daemon.manifest

import kotlinx.coroutines.runBlocking
import org.arbutusrelay.core.manifest.ManifestText
import org.arbutusrelay.schema.message.ManifestRecord
import java.nio.file.Files
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

    /** Guards against serving requests under a corrupt manifest. */
    @Test
    fun `loading a corrupt file fails`() {
        runBlocking { store.save(ManifestRecord(3, "another digest", "number = 3")) }
        assertFails { store.load() }
    }
}
