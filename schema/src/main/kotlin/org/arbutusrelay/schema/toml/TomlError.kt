package org.arbutusrelay.schema.toml

/** An error in a TOML document, with its location. */
public data class TomlError(
    /** Line number, from 1; 0 if the error concerns the whole document. */
    val line: Int,
    /** Path of the value, such as `services[0].kinds[1].waits`; empty if the error concerns the whole document. */
    val path: String,
    val message: String,
) {
    /** Formats the error for display, such as `daemon.toml:12: callerPort: expected a whole number`. */
    public fun describe(fileName: String): String =
        listOf("$fileName:$line", path, message).filter(String::isNotEmpty).joinToString(": ")
}
