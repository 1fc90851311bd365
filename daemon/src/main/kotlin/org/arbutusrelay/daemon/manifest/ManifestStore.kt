package org.arbutusrelay.daemon.manifest

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.arbutusrelay.core.manifest.ManifestText
import org.arbutusrelay.schema.message.ManifestRecord
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption.ATOMIC_MOVE
import java.nio.file.StandardOpenOption.CREATE
import java.nio.file.StandardOpenOption.READ
import java.nio.file.StandardOpenOption.TRUNCATE_EXISTING
import java.nio.file.StandardOpenOption.WRITE

/** Stores the newest manifest that a state host has synced. */
public interface ManifestStore {
    /** Returns the stored manifest, or null if there is none. */
    public fun load(): ManifestRecord?

    /** Replaces the stored manifest; returns after it is synced to disk. Throws `IOException`. */
    public suspend fun save(record: ManifestRecord)
}

/** Stores the manifest in the file `manifest.cbor` in [folder], which is replaced atomically. */
@OptIn(ExperimentalSerializationApi::class)
public class FileManifestStore(private val folder: Path) : ManifestStore {
    private val file = folder.resolve("manifest.cbor")

    /** Returns the stored manifest; throws `IOException` or `SerializationException` if the file is corrupt. */
    override fun load(): ManifestRecord? {
        if (!Files.exists(file)) return null
        val record = Cbor.decodeFromByteArray(ManifestRecord.serializer(), Files.readAllBytes(file))
        check(record.digest == ManifestText.digest(record.text)) { "$file does not match its digest" }
        return record
    }

    override suspend fun save(record: ManifestRecord): Unit = withContext(Dispatchers.IO) {
        Files.createDirectories(folder)
        val temporaryFile = folder.resolve("manifest.cbor.new")
        FileChannel.open(temporaryFile, CREATE, WRITE, TRUNCATE_EXISTING).use { channel ->
            val bytes = ByteBuffer.wrap(Cbor.encodeToByteArray(ManifestRecord.serializer(), record))
            while (bytes.hasRemaining()) channel.write(bytes)
            channel.force(true)
        }
        Files.move(temporaryFile, file, ATOMIC_MOVE)
        // The rename is durable only after the folder is synced.
        FileChannel.open(folder, READ).use { it.force(true) }
    }
}
