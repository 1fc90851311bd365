package org.arbutusrelay.core.relay

/** Heads that ended at the same line of a body. */
internal class EndedHeads(
    /** Position of the first of them; the others begin later and have the last of its fields. */
    val start: Long,
    /** Position behind the head. */
    val end: Long,
    /** See [EmbeddedHead.isEnded]. */
    val isEnded: Boolean,
    /** True if the first is the head of a response; if it is quoted, all of them are. */
    val isResponse: Boolean,
)

/**
 * Recognizes response heads in a body: a status line `HTTP/1.x NNN`, header lines and an empty line.
 *
 * A status line may begin at any byte, also inside the field of another head. All heads that are open go on with the
 * same lines, so that each line is parsed once for all of them: the cost of a byte does not depend on how many heads
 * are open or how long they are. Line ends are CRLF or LF, as HTTP parsers accept both. Not thread-safe.
 */
internal class HeadTracker(private val rule: EmbeddedHeadRule) {
    /** A head whose status line begins at [start], and whose first field has the number [firstField]. */
    private class Head(val start: Long, var firstField: Long = 0)

    /** Beginning of the line that follows the open heads. */
    private enum class Line { EMPTY, CARRIAGE_RETURN, FOLD, NAME, BEHIND_NAME, VALUE }

    private val bytes = ByteQueue()

    /** Position of the next byte to be read. */
    private var position = 0L
    private var lineStart = 0L
    private var nameEnd = 0L
    private var line = Line.EMPTY

    /** Number of bytes at the end that may begin a status line, up to the byte after its code. */
    private var matchedBytes = 0

    /** Heads inside their status line, and those behind it; both in the order of their positions. */
    private val begun = ArrayDeque<Head>()
    private val open = ArrayDeque<Head>()

    private var fields = 0L
    private var lastNamingField = -1L
    private var lastForeignField = -1L
    private var headSteps = 0L

    /** Position of the first byte that may begin a head, or null if there is none. */
    val firstStart: Long? get() = firstHeadStart ?: partialStart

    /** Position of the first head that is open and whose status line is known to be one, or null. */
    val firstHeadStart: Long? get() = (open.firstOrNull() ?: begun.firstOrNull())?.start

    /** Position of the last bytes if they may begin a status line, or null. */
    val partialStart: Long? get() = (position - matchedBytes).takeIf { matchedBytes > 0 }

    private val isIdle get() = matchedBytes == 0 && begun.isEmpty() && open.isEmpty()

    /** Position of the latest head whose status line is known to be one, or -1. */
    var latestStart: Long = -1
        private set

    /** Number of bytes and heads that were looked at, moved or copied so far. */
    val steps: Long get() = position + headSteps + bytes.copiedBytes

    /** Appends [appended], which are then read by [next]. */
    fun append(appended: ByteArray): Unit = bytes.append(appended)

    /** Reads on until heads end and returns them, or null once all bytes are read. */
    fun next(): EndedHeads? {
        while (position < bytes.end) {
            if (isIdle) skipToFirstByte()
            if (position < bytes.end) readByte()?.let { return it }
        }
        return null
    }

    /** Removes the bytes before [end] from the window and returns them. */
    fun take(end: Long): ByteArray {
        val taken = bytes.copyOfRange(bytes.start, end)
        bytes.dropBefore(end)
        return taken
    }

    /** Number of bytes that are in the window. */
    val heldBytes: Int get() = bytes.size

    /** Position behind the last byte. */
    val end: Long get() = bytes.end

    /** Parses the head that [heads] begin with. */
    fun parse(heads: EndedHeads): EmbeddedHead {
        val lines = bytes.text(heads.start, heads.end).split('\n').map { it.removeSuffix("\r") }
        // A folded line goes on with the field before it, as HTTP parsers accept it.
        val parsed = lines.drop(1).filter { it.isNotEmpty() && it[0] !in FOLD }.map { it.toField() }
        return EmbeddedHead(lines[0].substring(CODE_START, STATUS_LINE.length).toInt(), parsed, heads.isEnded)
    }

    private fun skipToFirstByte() {
        while (position < bytes.end && bytes[position] != FIRST_BYTE) position++
    }

    private fun readByte(): EndedHeads? {
        val char = (bytes[position].toInt() and BYTE_MASK).toChar()
        dropLongHeads(char)
        val ended = if (open.isEmpty()) null else readLine(char)
        matchStatusLine(char)
        position++
        if (char == '\n') startLine()
        return ended
    }

    private fun dropLongHeads(char: Char) {
        val isLineEnd = char == '\n'
        while (open.isNotEmpty() && isTooLong(open.first(), MAX_HEAD_BYTES, isLineEnd)) dropFirst(open)
        while (begun.isNotEmpty() && isTooLong(begun.first(), MAX_STATUS_LINE_BYTES - 1, isLineEnd)) dropFirst(begun)
    }

    private fun isTooLong(head: Head, maxBytes: Int, isLineEnd: Boolean): Boolean {
        val length = position - head.start
        return length > maxBytes || (length == maxBytes.toLong() && !isLineEnd)
    }

    private fun dropFirst(heads: ArrayDeque<Head>) {
        heads.removeFirst()
        headSteps++
    }

    /** Reads the next byte of the line behind the open heads; returns them if they end at it. */
    private fun readLine(char: Char): EndedHeads? {
        if (char == '\n') return endLine()
        line = when (line) {
            Line.EMPTY -> when {
                char in FOLD -> Line.FOLD
                char == '\r' -> Line.CARRIAGE_RETURN
                isTokenChar(char) -> Line.NAME
                else -> null
            }

            Line.CARRIAGE_RETURN -> null

            Line.NAME, Line.BEHIND_NAME -> when {
                char == ':' -> Line.VALUE.also { nameEnd = position }
                char.isWhitespace() -> Line.BEHIND_NAME
                line == Line.NAME && isTokenChar(char) -> Line.NAME
                else -> null
            }

            Line.FOLD, Line.VALUE -> line
        } ?: return endHeads(lineStart, isEnded = false)
        return null
    }

    private fun endLine(): EndedHeads? = when (line) {
        Line.EMPTY, Line.CARRIAGE_RETURN -> endHeads(position + 1, isEnded = true)

        Line.NAME, Line.BEHIND_NAME -> endHeads(lineStart, isEnded = false)

        Line.VALUE -> {
            recordField()
            null
        }

        Line.FOLD -> {
            // There is no field that the line could go on with.
            while (open.isNotEmpty() && open.last().firstField == fields) {
                open.removeLast()
                headSteps++
            }
            null
        }
    }

    private fun recordField() {
        val name = bytes.text(lineStart, nameEnd).trimEnd()
        if (rule.namesRequest(name)) lastNamingField = fields
        if (name !in EVENT_FIELDS) lastForeignField = fields
        fields++
    }

    /** Ends all open heads; those that end without an empty line and have no field are none. */
    private fun endHeads(end: Long, isEnded: Boolean): EndedHeads? {
        val first = open.first()
        headSteps += open.size
        open.clear()
        line = Line.EMPTY
        if (!isEnded && first.firstField == fields) return null
        val isResponse = lastNamingField >= first.firstField ||
            (rule.isEventStream && isEnded && lastForeignField >= first.firstField)
        return EndedHeads(first.start, end, isEnded, isResponse)
    }

    private fun matchStatusLine(char: Char) {
        val isMatched = when (matchedBytes) {
            STATUS_LINE.length -> char in " \r\n"
            else -> isExpected(char, STATUS_LINE[matchedBytes])
        }
        when {
            !isMatched -> matchedBytes = if (char == STATUS_LINE[0]) 1 else 0

            matchedBytes < STATUS_LINE.length -> matchedBytes++

            else -> {
                latestStart = position - matchedBytes
                begun += Head(latestStart)
                matchedBytes = 0
            }
        }
    }

    private fun startLine() {
        lineStart = position
        line = Line.EMPTY
        for (head in begun) {
            head.firstField = fields
            open += head
            headSteps++
        }
        begun.clear()
    }

    private fun isExpected(actual: Char, expected: Char) =
        if (expected == ANY_DIGIT) actual in '0'..'9' else actual == expected

    private fun isTokenChar(char: Char) =
        char in 'a'..'z' || char in 'A'..'Z' || char in '0'..'9' || char in TOKEN_SYMBOLS

    private fun String.toField(): Pair<String, String> = substringBefore(':').trimEnd() to substringAfter(':').trim()

    companion object {
        /** Length of `HTTP/1.x NNN` and the byte after it, which show that bytes are a status line. */
        const val MIN_STATUS_LINE_BYTES = 13

        /** Longest head, in bytes; longer ones are taken for a body. */
        private const val MAX_HEAD_BYTES = 32 * 1024

        /** Longest status line, in bytes. */
        private const val MAX_STATUS_LINE_BYTES = 256

        /** Beginning of a status line, up to its reason phrase. */
        private const val STATUS_LINE = "HTTP/1.# ###"
        private const val ANY_DIGIT = '#'
        private const val CODE_START = 9
        private const val TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~"
        private const val FOLD = " \t"
        private const val FIRST_BYTE = 'H'.code.toByte()
        private const val BYTE_MASK = 0xFF
        private val EVENT_FIELDS = setOf("data", "event", "id", "retry")
    }
}
