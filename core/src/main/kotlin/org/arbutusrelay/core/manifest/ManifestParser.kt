package org.arbutusrelay.core.manifest

import arrow.core.Either
import org.arbutusrelay.schema.manifest.Manifest

/** Parses and validates the text of a manifest. */
public fun interface ManifestParser {
    /** Returns the valid manifest in [text], or all of its errors. */
    public fun parse(text: String): Either<List<ManifestError>, Manifest>
}
