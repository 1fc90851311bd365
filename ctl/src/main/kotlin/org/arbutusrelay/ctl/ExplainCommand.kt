package org.arbutusrelay.ctl

import kotlinx.serialization.json.JsonObject
import org.arbutusrelay.daemon.explain.LogContent
import org.arbutusrelay.daemon.explain.LogFile
import org.arbutusrelay.daemon.explain.LoggedLine
import org.arbutusrelay.daemon.explain.RequestTimeline
import org.arbutusrelay.daemon.observe.EVENT_JSON
import org.arbutusrelay.schema.log.EventLine
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.Callable

/** Reconstructs the history of a request from host logs. */
@Command(
    name = "explain",
    description = ["Reconstructs the history of a request from host logs."],
    mixinStandardHelpOptions = true,
)
internal class ExplainCommand : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    @Parameters(index = "0", paramLabel = "REQUEST_ID", description = ["Request identifier set by the caller."])
    lateinit var request: String

    @Parameters(index = "1..*", arity = "1..*", paramLabel = "FILE", description = ["Log files of one or more hosts."])
    lateinit var files: List<Path>

    override fun call(): Int {
        val content = try {
            files.map(::readLog).reduce(LogContent::plus)
        } catch (e: IOException) {
            spec.commandLine().err.println("${spec.root().name()}: ${e.message}: cannot be read")
            return ExitCode.USAGE
        }
        val explanation = RequestTimeline.of(request, content.lines)
        val out = spec.commandLine().out
        if (content.unreadable > 0) out.println("${content.unreadable} lines cannot be read")
        if (explanation.steps.isEmpty()) {
            spec.commandLine().err.println("${spec.root().name()}: no line about $request; ${droppedLines(content)}")
            return ExitCode.FAILED
        }
        out.println(eventTable(explanation.steps))
        if (explanation.relatedLines.isNotEmpty()) out.println("\naround it\n${eventTable(explanation.relatedLines)}")
        out.println("\ncause: ${explanation.cause ?: "the lines do not tell"}")
        return ExitCode.SUCCESS
    }

    private fun readLog(file: Path): LogContent = file.toFile().useLines { LogFile.read(it) }

    private fun droppedLines(content: LogContent): String =
        "${content.lines.sumOf { it.line.leftOut }} lines of the files were left out under load"

    private fun eventTable(lines: List<LoggedLine>): String = table(
        listOf("TIME", "HOST", "EVENT", "FIELDS"),
        lines.map { listOf(it.time, it.writer, it.line.event.name.lowercase(), formatFields(it.line)) },
    )

    private fun formatFields(line: EventLine): String {
        val encoded = EVENT_JSON.encodeToJsonElement(EventLine.serializer(), line) as JsonObject
        return encoded.filterKeys { it != "event" && it != "request" }.entries.joinToString(" ") { (key, value) ->
            "$key=$value"
        }
    }
}
