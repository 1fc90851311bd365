package org.arbutusrelay.core.relay

/** Head of a response that was found inside the body of another. */
public data class EmbeddedHead(
    val statusCode: Int,
    /** Names and values in the order of the head. */
    val fields: List<Pair<String, String>>,
    /**
     * False if a line that is no field stands in place of the empty line.
     *
     * The end of a chunk that the head has filled takes the empty line away. Else it is a text that quotes a head.
     */
    val isEnded: Boolean = true,
) {
    /**
     * True if a stream of events may have quoted the head.
     *
     * Each line of a quotation is a field of its event, so that only a status line may look like a part of a head.
     */
    val isEventText: Boolean get() = fields.all { (name, _) -> name in EVENT_FIELDS }

    private companion object {
        val EVENT_FIELDS = setOf("data", "event", "id", "retry")
    }
}

/** What the bytes from one position on are. */
internal sealed interface HeadMatch {
    /** No head of a response begins at the position. */
    data object None : HeadMatch

    /** A head may begin at the position; the bytes that follow decide. */
    data object Unfinished : HeadMatch

    /** [head] ends before the position [end]. */
    class Found(val head: EmbeddedHead, val end: Int) : HeadMatch
}

/**
 * Recognizes a response head: a status line `HTTP/1.x NNN`, header lines and an empty line.
 *
 * Line ends are CRLF or LF, as HTTP parsers accept both.
 */
internal object HeadMatcher {
    /** Longest head, in bytes; longer ones are taken for a body. */
    const val MAX_HEAD_BYTES = 32 * 1024

    /** Length of `HTTP/1.x NNN` and the byte after it, which show that bytes are a status line. */
    const val MIN_STATUS_LINE_BYTES = 13

    /** Longest status line, in bytes. A text that repeats its beginning would otherwise be scanned far at each one. */
    private const val MAX_STATUS_LINE_BYTES = 256

    /** Beginning of a status line, up to its reason phrase. */
    private const val STATUS_LINE = "HTTP/1.# ###"
    private const val ANY_DIGIT = '#'
    private const val CODE_START = 9
    private const val TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~"
    private const val FOLD = " \t"
    private val LINE_FEED = '\n'.code.toByte()

    /** Returns what begins at [start] in [bytes]. */
    fun match(bytes: ByteArray, start: Int): HeadMatch {
        val length = minOf(STATUS_LINE.length, bytes.size - start)
        val isStatusLine = (0 until length).all { isExpected(charAt(bytes, start + it), STATUS_LINE[it]) }
        val codeEnd = start + STATUS_LINE.length
        return when {
            !isStatusLine -> HeadMatch.None
            codeEnd >= bytes.size -> HeadMatch.Unfinished
            charAt(bytes, codeEnd) !in " \r\n" || isStatusLineLong(bytes, start) -> HeadMatch.None
            else -> matchFields(bytes, start)
        }
    }

    private fun isStatusLineLong(bytes: ByteArray, start: Int): Boolean {
        val limit = start + MAX_STATUS_LINE_BYTES
        return limit <= bytes.size && (start until limit).none { bytes[it] == LINE_FEED }
    }

    private fun matchFields(bytes: ByteArray, start: Int): HeadMatch {
        val fields = ArrayList<Pair<String, String>>()
        var lineStart = start
        while (true) {
            val lineEnd = indexOfLineFeed(bytes, lineStart) ?: bytes.size
            val line = textOf(bytes, lineStart, lineEnd).removeSuffix("\r")
            val isStatusLine = lineStart == start
            when {
                lineEnd - start > MAX_HEAD_BYTES -> return HeadMatch.None

                lineEnd == bytes.size && (isStatusLine || mayBeginField(line)) -> return HeadMatch.Unfinished

                !isStatusLine && line.isEmpty() -> {
                    return HeadMatch.Found(EmbeddedHead(statusCodeOf(bytes, start), fields), lineEnd + 1)
                }

                // A folded line goes on with the field before it, as HTTP parsers accept it.
                !isStatusLine && line[0] in FOLD && fields.isNotEmpty() -> Unit

                !isStatusLine -> fields += parseField(line) ?: return unended(bytes, start, lineStart, fields)
            }
            lineStart = lineEnd + 1
        }
    }

    /** Returns a head whose [fields] end at a line that is no field. */
    private fun unended(bytes: ByteArray, start: Int, end: Int, fields: List<Pair<String, String>>): HeadMatch =
        if (fields.isEmpty()) {
            HeadMatch.None
        } else {
            HeadMatch.Found(EmbeddedHead(statusCodeOf(bytes, start), fields, isEnded = false), end)
        }

    private fun statusCodeOf(bytes: ByteArray, start: Int) =
        textOf(bytes, start + CODE_START, start + STATUS_LINE.length).toInt()

    private fun isExpected(actual: Char, expected: Char) =
        if (expected == ANY_DIGIT) actual in '0'..'9' else actual == expected

    private fun mayBeginField(line: String) =
        ':' in line || line.trimEnd().all(::isTokenChar) || line.firstOrNull()?.let { it in FOLD } == true

    private fun parseField(line: String): Pair<String, String>? {
        val name = line.substringBefore(':', "").trimEnd()
        if (name.isEmpty() || !name.all(::isTokenChar)) return null
        return name to line.substringAfter(':').trim()
    }

    private fun isTokenChar(char: Char) =
        char in 'a'..'z' || char in 'A'..'Z' || char in '0'..'9' || char in TOKEN_SYMBOLS

    private fun indexOfLineFeed(bytes: ByteArray, from: Int): Int? =
        (from until bytes.size).firstOrNull { bytes[it] == LINE_FEED }
}

private fun charAt(bytes: ByteArray, index: Int) = bytes[index].toInt().toChar()

private fun textOf(bytes: ByteArray, start: Int, end: Int) = String(bytes, start, end - start, Charsets.ISO_8859_1)
