package org.arbutusrelay.core.manifest

import org.arbutusrelay.core.digest.sha256Hex
import org.arbutusrelay.schema.message.LineEdit
import org.arbutusrelay.schema.message.ManifestDelta
import org.arbutusrelay.schema.message.ManifestRecord

/** Digests and line differences of manifest texts. */
public object ManifestText {
    /** Returns the SHA-256 of [text] in lower-case hexadecimal. */
    public fun digest(text: String): String = sha256Hex(text.toByteArray())

    /** Returns the line difference from [base] to [target]. */
    public fun difference(base: ManifestRecord, target: ManifestRecord): ManifestDelta {
        val edits = ArrayList<LineEdit>()
        appendEdits(base.text.split('\n'), target.text.split('\n'), 0, edits)
        return ManifestDelta(base.number, base.digest, target.number, target.digest, edits)
    }

    /** Applies [delta] to [base]; returns null when the base or the digest of the result does not match. */
    public fun apply(base: ManifestRecord, delta: ManifestDelta): ManifestRecord? {
        if (base.number != delta.baseNumber || base.digest != delta.baseDigest) return null
        val old = base.text.split('\n')
        val lines = ArrayList<String>(old.size)
        var position = 0
        for (edit in delta.edits) {
            val first = edit.firstLine.toInt()
            val end = first + edit.removedLines
            if (first < position || end > old.size) return null
            lines += old.subList(position, first)
            lines += edit.addedLines
            position = end.toInt()
        }
        lines += old.subList(position, old.size)
        val text = lines.joinToString("\n")
        return if (digest(text) == delta.digest) ManifestRecord(delta.number, delta.digest, text) else null
    }

    /** Removes the common prefix and suffix, then splits recursively at a common line that is unique in both texts. */
    private fun appendEdits(old: List<String>, new: List<String>, offset: Int, into: MutableList<LineEdit>) {
        val limit = minOf(old.size, new.size)
        val prefixLength = (0 until limit).firstOrNull { old[it] != new[it] } ?: limit
        val suffixLength = (0 until limit - prefixLength)
            .firstOrNull { old[old.size - 1 - it] != new[new.size - 1 - it] }
            ?: (limit - prefixLength)
        val (oldPart, newPart) =
            old.subList(prefixLength, old.size - suffixLength) to new.subList(prefixLength, new.size - suffixLength)
        val start = offset + prefixLength
        if (oldPart.isEmpty() && newPart.isEmpty()) return
        val anchor = anchor(oldPart, newPart)
        if (anchor == null) {
            into += LineEdit(start.toLong(), oldPart.size.toLong(), newPart.toList())
        } else {
            val (i, j) = anchor
            appendEdits(oldPart.subList(0, i), newPart.subList(0, j), start, into)
            appendEdits(oldPart.subList(i, oldPart.size), newPart.subList(j, newPart.size), start + i, into)
        }
    }

    /** Returns the positions in [old] and [new] of the unique common line that is closest to the middle of [old]. */
    private fun anchor(old: List<String>, new: List<String>): Pair<Int, Int>? {
        val inOld = uniqueLines(old)
        val inNew = uniqueLines(new)
        return inOld.entries.mapNotNull { (line, i) -> inNew[line]?.let { j -> i to j } }
            .minByOrNull { (i, _) -> kotlin.math.abs(i - old.size / 2) }
    }

    private fun uniqueLines(lines: List<String>): Map<String, Int> =
        lines.withIndex().groupBy({ it.value }, { it.index }).filterValues { it.size == 1 }.mapValues { it.value[0] }
}
