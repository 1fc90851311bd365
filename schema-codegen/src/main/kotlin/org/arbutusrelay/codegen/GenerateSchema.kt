package org.arbutusrelay.codegen

import net.pwall.json.schema.codegen.CodeGenerator
import java.io.File

/**
 * Generates one Kotlin file for each JSON Schema file.
 *
 * Arguments: the schema root, the output folder and the base package. Each folder below the root becomes a
 * subpackage. The generator writes implicit visibility and lower-case enum constants; [adapt] changes both so that
 * the result compiles in explicit API mode and keeps the wire names. [label] numbers the members of link messages.
 */
public fun main(args: Array<String>) {
    require(args.size == 3) { "expected: SCHEMA_ROOT OUTPUT_FOLDER BASE_PACKAGE" }
    val root = File(args[0])
    val output = File(args[1])
    output.deleteRecursively()
    root.listFiles().orEmpty().filter(File::isDirectory).sorted().forEach { folder ->
        generatePackage(root, folder, output, "${args[2]}.${folder.name}")
    }
    output.walk().filter { it.extension == "kt" }.forEach { file ->
        val adapted = adapt(file.readText())
        file.writeText(if (file.parentFile.name == LABELLED_FOLDER) label(adapted) else adapted)
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
    val isEnum = Regex("""enum class (\w+) \{([^}]*)}""")
    val enums = isEnum.replace(body) { "enum class ${it.groupValues[1]} {${renameConstants(it.groupValues[2])}}" }
    val visible = enums
        .replace(Regex("""(?m)^(\s*)(data class|enum class|class|open class)"""), "$1public $2")
        .replace(Regex("""(?m)^(\s*)val """), "$1public val ")
        .replace("companion object", "private companion object")
        .replace("cg_array", "cgArray")
        .replace(Regex("cg_\\d+"), "item")
        .replace(Regex("""(?m)^import kotlin\.(ByteArray|Double)\n"""), "")
    return if (visible.contains("@SerialName")) {
        visible.replace("import kotlinx.serialization.Serializable", SERIAL_IMPORTS)
    } else {
        visible
    }
}

/**
 * Gives each member a CBOR label, so that link frames carry a small number in place of the member's name.
 *
 * The label is the position in the schema: new members go to the end, and none is removed.
 */
private fun label(source: String): String {
    val head = source.substringBefore("\n) {").substringBefore("\n)\n")
    var next = 0
    val labelled = Regex("""(?m)^    public val """).replace(head) { "    @CborLabel(${next++})\n    public val " }
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

/** Schema folder whose types travel on links. */
private const val LABELLED_FOLDER = "message"
