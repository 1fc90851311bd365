package org.arbutusrelay.schema.toml

import org.arbutusrelay.schema.manifest.Service
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class TomlReaderTest {
    private val manifest = """
        number = 3

        [[regions]]
        name = "hue"
        availabilityZones = ["hue-a"]

        [[services]]
        name = "drafting"
        type = "engine"
        timeZone = "Asia/Ho_Chi_Minh"
        regions = ["hue"]

        [[services.kinds]]
        name = "draft"
        isIdempotent = true
        waits = [{ fromHour = 0, toHour = 24, waitMs = 60000 }]

        [[callers]]
        name = "clerk"
        homeRegion = "hue"
        tokenSha256 = ["00"]
    """.trimIndent()

    @Test
    fun `a valid manifest is decoded with default values`() {
        val decoded = TomlReader.ofManifest().read(manifest).getOrNull()
        assertEquals(Service.Type.ENGINE, decoded?.services?.single()?.type)
        assertEquals(60_000, decoded?.services?.single()?.kinds?.single()?.waits?.single()?.waitMs)
        assertEquals(1_048_576, decoded?.services?.single()?.maxBodyBytes)
    }

    /** Guards against errors without a line number and against a reader that stops at the first error. */
    @Test
    fun `each error is reported with its line, path and unit`() {
        data class Case(val from: String, val to: String, val expected: TomlError)
        val cases = listOf(
            Case("number = 3", "number = 0", TomlError(1, "number", "must be at least 1, found 0")),
            Case("number = 3", "numbr = 3", TomlError(1, "numbr", "unknown key")),
            Case(
                """type = "engine"""",
                """type = "car"""",
                TomlError(9, "services[0].type", "expected one of engine, plain, found car"),
            ),
            Case(
                "waitMs = 60000",
                "waitSeconds = 60",
                TomlError(
                    16,
                    "services[0].kinds[0].waits[0].waitSeconds",
                    "unknown key; did you mean waitMs in milliseconds?",
                ),
            ),
            Case(
                "waitMs = 60000",
                "waitMs = \"60s\"",
                TomlError(16, "services[0].kinds[0].waits[0].waitMs", "expected a whole number in milliseconds"),
            ),
            Case("isIdempotent = true", "", TomlError(13, "services[0].kinds[0]", "missing value: isIdempotent")),
            Case(
                "toHour = 24",
                "toHour = 25",
                TomlError(16, "services[0].kinds[0].waits[0].toHour", "must be at most 24, found 25"),
            ),
            Case("""name = "clerk"""", """name = """"", TomlError(19, "callers[0].name", "must not be empty")),
        )
        cases.forEach { case ->
            val errors = TomlReader.ofManifest().read(manifest.replace(case.from, case.to)).leftOrNull().orEmpty()
            assertTrue(case.expected in errors, "${case.to}: $errors")
        }
    }

    @Test
    fun `all errors are reported together and sorted by line`() {
        val text = manifest.replace("number = 3", "number = \"x\"").replace("isIdempotent = true", "isIdempotent = 1")
        val errors = TomlReader.ofManifest().read(text).leftOrNull().orEmpty()
        assertEquals(listOf(1, 15), errors.map { it.line })
    }

    @Test
    fun `a syntax error is reported with its line`() {
        val error = TomlReader.ofManifest().read("number = 1\nregions = [").leftOrNull()?.single()
        assertEquals(2, error?.line, error?.message)
    }
}
