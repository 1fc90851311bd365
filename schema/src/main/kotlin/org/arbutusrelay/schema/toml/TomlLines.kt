package org.arbutusrelay.schema.toml

/**
 * Maps the paths of values in a TOML document to line numbers.
 *
 * The TOML library does not record positions, so this class scans table headers and keys. A value inside an inline
 * table or an array is assigned the line of the enclosing key.
 */
internal class TomlLines private constructor(private val lineNumbers: Map<String, Int>) {
    /** Returns the line number of [path] or of its nearest parent that has one; 0 if there is none. */
    fun lineOf(path: String): Int {
        var candidate = path
        while (candidate.isNotEmpty()) {
            lineNumbers[candidate]?.let { return it }
            candidate = candidate.substring(0, maxOf(candidate.lastIndexOf('.'), candidate.lastIndexOf('['), 0))
        }
        return 0
    }

    companion object {
        fun of(text: String): TomlLines = TomlLines(Scanner().scan(text))

        private class Scanner {
            private val lineByPath = mutableMapOf<String, Int>()
            private val arrayIndexes = mutableMapOf<String, Int>()
            private var prefix = ""

            fun scan(text: String): Map<String, Int> {
                text.lineSequence().forEachIndexed { index, line -> visit(line.trim(), index + 1) }
                return lineByPath
            }

            private fun visit(line: String, number: Int) {
                ARRAY_HEADER.matchEntire(line)?.let { return openArrayTable(it.groupValues[1], number) }
                TABLE_HEADER.matchEntire(line)?.let { return openTable(it.groupValues[1], number) }
                KEY.find(line)?.let { match ->
                    val path = if (prefix.isEmpty()) match.groupValues[1] else "$prefix.${match.groupValues[1]}"
                    lineByPath.putIfAbsent(path, number)
                }
            }

            private fun openArrayTable(header: String, number: Int) {
                val path = resolve(header.substringBeforeLast('.', ""), header.substringAfterLast('.'))
                val index = (arrayIndexes[path] ?: -1) + 1
                arrayIndexes[path] = index
                prefix = "$path[$index]"
                lineByPath[prefix] = number
            }

            private fun openTable(header: String, number: Int) {
                prefix = resolve(header.substringBeforeLast('.', ""), header.substringAfterLast('.'))
                lineByPath[prefix] = number
            }

            /** Adds the index of the current element to each array of tables along [parents]. */
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
