package org.arbutusrelay.daemon.storage

import java.nio.file.Path

/** Why the stored state of a replica cannot be used. */
public sealed interface StorageError {
    /** File or folder concerned. */
    public val path: Path

    /** The operating system refused to read or write. */
    public data class Unavailable(override val path: Path, val reason: String) : StorageError

    /** The content is damaged. It is never skipped, because a replica without it could break its promises. */
    public data class Corrupt(override val path: Path, val offsetBytes: Long, val reason: String) : StorageError
}

/** Carries a [StorageError] through the internals of the package. */
internal class StorageException(val error: StorageError, cause: Exception? = null) : Exception(error.toString(), cause)
