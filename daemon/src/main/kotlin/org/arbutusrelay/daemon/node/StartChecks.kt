package org.arbutusrelay.daemon.node

import kotlinx.serialization.SerializationException
import org.arbutusrelay.daemon.link.isLinkAddress
import org.arbutusrelay.daemon.manifest.FileManifestStore
import org.arbutusrelay.daemon.storage.StorageError
import org.arbutusrelay.schema.settings.DaemonSettings
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Checks the settings and the stored state before a daemon opens a port or writes a file. */
internal object StartChecks {
    /** Returns the first error in [settings] that the schema cannot detect, or null. */
    fun settingsError(settings: DaemonSettings): StartError? {
        settings.peers.forEachIndexed { index, peer ->
            if (!isLinkAddress(peer.address)) {
                return StartError("peers[$index].address", "${peer.address} is not an IP address and port")
            }
            if (peer.hostName == settings.hostName) {
                return StartError("peers[$index].hostName", "${peer.hostName} is this host")
            }
        }
        return null
    }

    /** Returns an error if [folder] cannot be used for the state of this host, or null. */
    fun folderError(folder: Path): StartError? = try {
        Files.createDirectories(folder)
        if (Files.isReadable(folder) &&
            Files.isWritable(folder)
        ) {
            null
        } else {
            error("$folder is not readable and writable")
        }
    } catch (e: IOException) {
        error("$folder cannot be used: $e")
    }

    /** Returns an error if the manifest in [store] cannot be read, or null. */
    fun manifestError(store: FileManifestStore): StartError? = try {
        store.load()
        null
    } catch (e: IOException) {
        error("the stored manifest cannot be read: $e")
    } catch (e: SerializationException) {
        error("the stored manifest is damaged: ${e.message}")
    } catch (e: IllegalStateException) {
        error("the stored manifest is damaged: ${e.message}")
    }

    /** Converts a storage error of a replica to a start error. */
    fun toStartError(error: StorageError): StartError = when (error) {
        is StorageError.Unavailable -> error("${error.path} cannot be used: ${error.reason}")
        is StorageError.Corrupt -> error("${error.path} is damaged at byte ${error.offsetBytes}: ${error.reason}")
    }

    private fun error(message: String) = StartError("dataFolder", message)
}
