package org.arbutusrelay.schema.toml

/**
 * Finds the line of a value in a TOML document.
 *
 * The TOML library keeps no positions, so this scans table headers and keys. A value inside an inline table or an array
 * has the line of the key that it belongs to.
 */
internal class TomlLines private constructor(private val lines: Map<String, Int>) {
    /** Returns the line of [path] or of its nearest parent that has a line of its own; 0 when there is none. */
    fun lineOf(path: String): Int {
        var candidate = path
        while (candidate.isNotEmpty()) {
            lines[candidate]?.let { return it }
            candidate = candidate.substring(0, maxOf(candidate.lastIndexOf('.'), candidate.lastIndexOf('['), 0))
        }
        return 0
    }

    companion object {
        fun of(text: String): TomlLines = TomlLines(Scanner().scan(text))

        private class Scanner {
            private val found = mutableMapOf<String, Int>()
            private val arrayIndexes = mutableMapOf<String, Int>()
            private var prefix = ""

            fun scan(text: String): Map<String, Int> {
                text.lineSequence().forEachIndexed { index, line -> visit(line.trim(), index + 1) }
                return found
            }

            private fun visit(line: String, number: Int) {
                ARRAY_HEADER.matchEntire(line)?.let { return openArrayTable(it.groupValues[1], number) }
                TABLE_HEADER.matchEntire(line)?.let { return openTable(it.groupValues[1], number) }
                KEY.find(line)?.let { match ->
                    val path = if (prefix.isEmpty()) match.groupValues[1] else "$prefix.${match.groupValues[1]}"
                    found.putIfAbsent(path, number)
                }
            }

            private fun openArrayTable(header: String, number: Int) {
                val path = resolve(header.substringBeforeLast('.', ""), header.substringAfterLast('.'))
                val index = (arrayIndexes[path] ?: -1) + 1
                arrayIndexes[path] = index
                prefix = "$path[$index]"
                found[prefix] = number
            }

            private fun openTable(header: String, number: Int) {
                prefix = resolve(header.substringBeforeLast('.', ""), header.substringAfterLast('.'))
                found[prefix] = number
            }

            /** Adds the index of the newest element to each array of tables along [parents]. */
            private fun resolve(parents: String, key: String): String {
                var path = ""
                parents.split('.').filter(String::isNotEmpty).forEach { part ->
                    path = if (path.isEmpty()) part else "$path.$part"
                    arrayIndexes[path]?.let { path = "$path[$it]" }
                }
                return if (path.isEmpty()) key else "$path.$key"
            }
        }

        private val ARRAY_HEADER = Regex("""\[\[\s*([\w.\-]+)\s*]]\s*(#.*)?""")
        private val TABLE_HEADER = Regex("""\[\s*([\w.\-]+)\s*]\s*(#.*)?""")
        private val KEY = Regex("""^([\w\-]+)\s*=""")
    }
}
