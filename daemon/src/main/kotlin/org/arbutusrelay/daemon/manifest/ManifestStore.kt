package org.arbutusrelay.daemon.manifest

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.arbutusrelay.core.manifest.ManifestText
import org.arbutusrelay.daemon.storage.DataFolder
import org.arbutusrelay.daemon.storage.FileOperations
import org.arbutusrelay.daemon.storage.SystemFiles
import org.arbutusrelay.schema.message.ManifestRecord
import java.nio.ByteBuffer
import java.nio.file.Files
import java.nio.file.Path

/** Stores the newest manifest that a state host has synced. */
public interface ManifestStore {
    /** Returns the stored manifest, or null if there is none. */
    public fun load(): ManifestRecord?

    /** Replaces the stored manifest; returns after it is synced to disk. Throws `IOException`. */
    public suspend fun save(record: ManifestRecord)
}

/** Stores the manifest in the file `manifest.cbor` in [folder], which is replaced atomically. */
@OptIn(ExperimentalSerializationApi::class)
public class FileManifestStore internal constructor(private val folder: Path, private val operations: FileOperations) :
    ManifestStore {
    /** Opening it makes durable what an earlier process left. */
    private val data by lazy { DataFolder(folder, operations) }

    public constructor(folder: Path) : this(folder, SystemFiles)

    /** Returns the stored manifest; throws `IOException` or `SerializationException` if the file is corrupt. */
    override fun load(): ManifestRecord? {
        val file = data.file(FILE_NAME)
        if (!Files.exists(file)) return null
        val record = Cbor.decodeFromByteArray(ManifestRecord.serializer(), Files.readAllBytes(file))
        check(record.digest == ManifestText.digest(record.text)) { "$file does not match its digest" }
        return record
    }

    override suspend fun save(record: ManifestRecord): Unit = withContext(Dispatchers.IO) {
        data.replace(FILE_NAME, ByteBuffer.wrap(Cbor.encodeToByteArray(ManifestRecord.serializer(), record)))
    }

    private companion object {
        const val FILE_NAME = "manifest.cbor"
    }
}
