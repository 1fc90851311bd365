package org.arbutusrelay.schema.toml

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long

/** The subset of JSON Schema that settings and manifests use, with references resolved. */
internal sealed interface SchemaNode {
    data class Table(val properties: Map<String, SchemaNode>, val required: Set<String>) : SchemaNode

    data class Array(val items: SchemaNode) : SchemaNode

    data class Text(val minLength: Long, val allowedValues: Set<String>) : SchemaNode

    data class Integer(val minimum: Long?, val maximum: Long?) : SchemaNode

    /** An integer or floating-point number. */
    data object Decimal : SchemaNode

    data object Flag : SchemaNode

    companion object {
        /** Loads the schema named [name], such as `manifest/manifest`, from the resources of this module. */
        fun load(name: String): SchemaNode {
            val resource = "/org/arbutusrelay/schema/$name.schema.json"
            val text = requireNotNull(SchemaNode::class.java.getResource(resource)) {
                "schema resource $resource not found"
            }.readText()
            return parse(Json.parseToJsonElement(text) as JsonObject, name.substringBeforeLast('/'))
        }

        private fun parse(node: JsonObject, folder: String): SchemaNode {
            node["\$ref"]?.let { return load("$folder/" + it.jsonPrimitive.content.removeSuffix(".schema.json")) }
            return when (val type = node.getValue("type").jsonPrimitive.content) {
                "object" -> parseTable(node, folder)
                "array" -> Array(parse(node.getValue("items") as JsonObject, folder))
                "string" -> Text(node.long("minLength") ?: 0, strings(node["enum"] as? JsonArray))
                "integer" -> Integer(node.long("minimum"), node.long("maximum"))
                "number" -> Decimal
                "boolean" -> Flag
                else -> error("schema type $type is not supported")
            }
        }

        private fun parseTable(node: JsonObject, folder: String): Table {
            val properties = node.getValue("properties") as JsonObject
            return Table(
                properties.mapValues { (_, property) -> parse(property as JsonObject, folder) },
                strings(node["required"] as? JsonArray),
            )
        }

        private fun JsonObject.long(key: String): Long? = (get(key) as? JsonPrimitive)?.long

        private fun strings(array: JsonArray?): Set<String> =
            array.orEmpty().map { it.jsonPrimitive.content }.toSet()
    }
}
