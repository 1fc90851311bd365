package org.arbutusrelay.core.digest

import java.security.MessageDigest
import java.util.HexFormat

/** Returns the SHA-256 digest of the concatenated [parts], in lower-case hexadecimal. */
public fun sha256Hex(vararg parts: ByteArray): String {
    val digest = MessageDigest.getInstance("SHA-256")
    parts.forEach(digest::update)
    return HexFormat.of().formatHex(digest.digest())
}
