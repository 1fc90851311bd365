package org.arbutusrelay.schema.toml

/** An error in a TOML document: where it stands and what is wrong. */
public data class TomlError(
    /** Line in the document, from 1; 0 when the error concerns the whole document. */
    val line: Int,
    /** Path of the value, such as `services[0].kinds[1].waits`; empty for the whole document. */
    val path: String,
    val message: String,
) {
    /** Text for people, such as `daemon.toml:12: callerPort: expected a whole number`. */
    public fun describe(fileName: String): String =
        listOf("$fileName:$line", path, message).filter(String::isNotEmpty).joinToString(": ")
}
