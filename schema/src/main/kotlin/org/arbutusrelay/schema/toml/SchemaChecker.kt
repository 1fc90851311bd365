package org.arbutusrelay.schema.toml

import net.peanuuutz.tomlkt.TomlArray
import net.peanuuutz.tomlkt.TomlElement
import net.peanuuutz.tomlkt.TomlLiteral
import net.peanuuutz.tomlkt.TomlTable

/** Validates a TOML document against a schema and collects all errors. */
internal class SchemaChecker(private val lines: TomlLines) {
    private val errors = mutableListOf<TomlError>()

    fun check(schema: SchemaNode, document: TomlElement): List<TomlError> {
        errors.clear()
        visit(schema, document, "")
        return errors.toList()
    }

    private fun visit(schema: SchemaNode, value: TomlElement, path: String) {
        when (schema) {
            is SchemaNode.Table -> visitTable(schema, value, path)
            is SchemaNode.Array -> visitArray(schema, value, path)
            is SchemaNode.Text -> visitText(schema, value, path)
            is SchemaNode.Integer -> visitInteger(schema, value, path)
            SchemaNode.Decimal -> visitDecimal(value, path)
            SchemaNode.Flag -> if (!value.isLiteral(TomlLiteral.Type.Boolean)) report(path, "expected true or false")
        }
    }

    private fun visitTable(schema: SchemaNode.Table, value: TomlElement, path: String) {
        if (value !is TomlTable) return report(path, "expected a table")
        value.content.forEach { (key, element) ->
            val property = schema.properties[key]
            if (property == null) {
                report(join(path, key), unknownKey(key, schema))
            } else {
                visit(property, element, join(path, key))
            }
        }
        (schema.required - value.content.keys).forEach { report(path, "missing value: $it${unitOf(it)}") }
    }

    private fun visitArray(schema: SchemaNode.Array, value: TomlElement, path: String) {
        if (value !is TomlArray) return report(path, "expected an array")
        value.content.forEachIndexed { index, element -> visit(schema.items, element, "$path[$index]") }
    }

    private fun visitText(schema: SchemaNode.Text, value: TomlElement, path: String) {
        if (!value.isLiteral(TomlLiteral.Type.String)) return report(path, "expected a string")
        val text = (value as TomlLiteral).content
        if (text.length < schema.minLength) report(path, "must not be empty")
        if (schema.allowedValues.isNotEmpty() && text !in schema.allowedValues) {
            report(path, "expected one of ${schema.allowedValues.joinToString()}, found $text")
        }
    }

    private fun visitInteger(schema: SchemaNode.Integer, value: TomlElement, path: String) {
        if (!value.isLiteral(TomlLiteral.Type.Integer)) return report(path, "expected a whole number${unitOf(path)}")
        val number = (value as TomlLiteral).content.toLongOrNull() ?: return report(path, "the number is too large")
        schema.minimum?.let { if (number < it) report(path, "must be at least $it${unitOf(path)}, found $number") }
        schema.maximum?.let { if (number > it) report(path, "must be at most $it${unitOf(path)}, found $number") }
    }

    private fun visitDecimal(value: TomlElement, path: String) {
        val isNumber = value.isLiteral(TomlLiteral.Type.Integer) || value.isLiteral(TomlLiteral.Type.Float)
        if (!isNumber) report(path, "expected a number${unitOf(path)}")
    }

    private fun TomlElement.isLiteral(type: TomlLiteral.Type): Boolean = this is TomlLiteral && this.type == type

    private fun report(path: String, message: String) {
        errors += TomlError(lines.lineOf(path), path, message)
    }

    private fun unknownKey(key: String, schema: SchemaNode.Table): String {
        val baseName = removeUnit(key)
        val suggestion = schema.properties.keys.firstOrNull {
            it != key &&
                removeUnit(it).equals(baseName, ignoreCase = true)
        }
        return if (suggestion == null) "unknown key" else "unknown key; did you mean $suggestion${unitOf(suggestion)}?"
    }

    private fun removeUnit(key: String): String = UNIT_SUFFIX.replace(key, "")

    private fun unitOf(path: String): String =
        UNITS.entries.firstOrNull { path.endsWith(it.key) }?.let { " in ${it.value}" }.orEmpty()

    private fun join(path: String, key: String): String = if (path.isEmpty()) key else "$path.$key"

    private companion object {
        private val UNITS = mapOf(
            "Ms" to "milliseconds",
            "Seconds" to "seconds",
            "BitsPerSecond" to "bits per second",
            "Bytes" to "bytes",
            "Permille" to "thousandths",
            "Micros" to "millionths",
        )
        private val UNIT_SUFFIX =
            Regex("_?(Ms|Seconds|Sec|S|Minutes|Hours|BitsPerSecond|Mbps|Gbps|Bytes|Kb|Mb|Permille|Percent|Micros)$")
    }
}
