package org.arbutusrelay.codegen

import net.pwall.json.schema.codegen.CodeGenerator
import java.io.File

/**
 * Generates one Kotlin file for each JSON Schema file.
 *
 * Arguments: the schema root, the output folder and the base package. Each folder below the root becomes a
 * subpackage. The generator emits implicit visibility and lower-case enum constants; [adapt] changes both so that
 * the result compiles in explicit API mode and keeps the wire names. [addCborLabels] numbers the properties of link
 * messages.
 */
public fun main(args: Array<String>) {
    require(args.size == 3) { "usage: SCHEMA_ROOT OUTPUT_FOLDER BASE_PACKAGE" }
    val root = File(args[0])
    val output = File(args[1])
    output.deleteRecursively()
    root.listFiles().orEmpty().filter(File::isDirectory).sorted().forEach { folder ->
        generatePackage(root, folder, output, "${args[2]}.${folder.name}")
    }
    output.walk().filter { it.extension == "kt" }.forEach { file ->
        val adapted = adapt(file.readText())
        file.writeText(if (file.parentFile.name == CBOR_LABEL_FOLDER) addCborLabels(adapted) else adapted)
    }
}

private fun generatePackage(root: File, folder: File, output: File, packageName: String) {
    CodeGenerator().apply {
        configure(File(root, "codegen-config.json"))
        baseDirectoryName = output.path
        basePackageName = packageName
    }.generate(folder.listFiles().orEmpty().filter { it.name.endsWith(".schema.json") }.sorted())
}

private fun adapt(generated: String): String {
    val body = generated.substring(generated.indexOf("package "))
    val enumPattern = Regex("""enum class (\w+) \{([^}]*)}""")
    val enums = enumPattern.replace(body) { "enum class ${it.groupValues[1]} {${renameConstants(it.groupValues[2])}}" }
    val withVisibility = enums
        .replace(Regex("""(?m)^(\s*)(data class|enum class|class|open class)"""), "$1public $2")
        .replace(Regex("""(?m)^(\s*)val """), "$1public val ")
        .replace("companion object", "private companion object")
        .replace("cg_array", "cgArray")
        .replace(Regex("cg_\\d+"), "item")
        .replace(Regex("""(?m)^import kotlin\.(ByteArray|Double)\n"""), "")
    return if (withVisibility.contains("@SerialName")) {
        withVisibility.replace("import kotlinx.serialization.Serializable", SERIAL_IMPORTS)
    } else {
        withVisibility
    }
}

/**
 * Adds a CBOR label to each property, so that link frames contain a small number instead of the property name.
 *
 * The label is the position of the property in the schema: new properties must be appended, and none may be removed.
 */
private fun addCborLabels(source: String): String {
    val head = source.substringBefore("\n) {").substringBefore("\n)\n")
    var nextLabel = 0
    val labelled = Regex("""(?m)^    public val """).replace(head) { "    @CborLabel(${nextLabel++})\n    public val " }
    val imports = "import kotlinx.serialization.ExperimentalSerializationApi\n"
    return "@file:OptIn(ExperimentalSerializationApi::class)\n\n" + (labelled + source.substring(head.length))
        .replaceFirst("import kotlinx.serialization.", imports + "import kotlinx.serialization.")
        .replace("import kotlinx.serialization.Serializable\n", "$LABEL_IMPORT\n")
}

private fun renameConstants(constants: String): String = constants.split(",").joinToString(",") { constant ->
    val name = constant.trim().trim('`')
    "\n        @SerialName(\"$name\")\n        ${name.uppercase()}"
} + ",\n    "

private const val SERIAL_IMPORTS = "import kotlinx.serialization.SerialName\nimport kotlinx.serialization.Serializable"

private const val LABEL_IMPORT =
    "import kotlinx.serialization.Serializable\nimport kotlinx.serialization.cbor.CborLabel"

/** Schema folder of the types that are sent over links. */
private const val CBOR_LABEL_FOLDER = "message"
