package org.arbutusrelay.daemon.storage

import java.nio.file.Path

/** Reason why the stored state of a replica cannot be used. */
public sealed interface StorageError {
    /** File or folder that caused the error. */
    public val path: Path

    /** A read or write failed with an I/O error. */
    public data class Unavailable(override val path: Path, val reason: String) : StorageError

    /**
     * The content is corrupt. It is never skipped, because a replica without it could vote twice in a term or lack
     * entries that it acknowledged.
     */
    public data class Corrupt(override val path: Path, val offsetBytes: Long, val reason: String) : StorageError
}

/** Carries a [StorageError] within this package. */
internal class StorageException(val error: StorageError, cause: Exception? = null) : Exception(error.toString(), cause)
