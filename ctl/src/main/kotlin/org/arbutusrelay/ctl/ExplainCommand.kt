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

/** Tells from the logs of hosts what happened to a request. */
@Command(
    name = "explain",
    description = ["Tells from the logs of hosts what happened to a request."],
    mixinStandardHelpOptions = true,
)
internal class ExplainCommand : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    @Parameters(index = "0", paramLabel = "REQUEST_ID", description = ["Identifier that the caller gave the request."])
    lateinit var request: String

    @Parameters(index = "1..*", arity = "1..*", paramLabel = "FILE", description = ["Logs of one or more hosts."])
    lateinit var files: List<Path>

    override fun call(): Int {
        val content = try {
            files.map(::read).reduce(LogContent::plus)
        } catch (e: IOException) {
            spec.commandLine().err.println("${spec.root().name()}: ${e.message}: cannot be read")
            return ExitCode.USAGE
        }
        val story = RequestTimeline.of(request, content.lines)
        val out = spec.commandLine().out
        if (content.unreadable > 0) out.println("${content.unreadable} lines cannot be read")
        if (story.steps.isEmpty()) {
            spec.commandLine().err.println("${spec.root().name()}: no line about $request; ${leftOut(content)}")
            return ExitCode.FAILED
        }
        out.println(rows(story.steps))
        if (story.relatedLines.isNotEmpty()) out.println("\naround it\n${rows(story.relatedLines)}")
        out.println("\ncause: ${story.cause ?: "the lines do not tell"}")
        return ExitCode.DONE
    }

    private fun read(file: Path): LogContent = file.toFile().useLines { LogFile.read(it) }

    private fun leftOut(content: LogContent): String =
        "${content.lines.sumOf { it.line.leftOut }} lines of the files were left out under load"

    private fun rows(lines: List<LoggedLine>): String = table(
        listOf("TIME", "HOST", "EVENT", "FIELDS"),
        lines.map { listOf(it.time, it.writer, it.line.event.name.lowercase(), fields(it.line)) },
    )

    private fun fields(line: EventLine): String {
        val encoded = EVENT_JSON.encodeToJsonElement(EventLine.serializer(), line) as JsonObject
        return encoded.filterKeys { it != "event" && it != "request" }.entries.joinToString(" ") { (key, value) ->
            "$key=$value"
        }
    }
}
