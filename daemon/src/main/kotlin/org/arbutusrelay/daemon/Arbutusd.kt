package org.arbutusrelay.daemon

import kotlinx.coroutines.runBlocking
import org.arbutusrelay.daemon.node.Node
import org.arbutusrelay.daemon.node.StartError
import org.arbutusrelay.schema.settings.DaemonSettings
import org.arbutusrelay.schema.toml.TomlError
import org.arbutusrelay.schema.toml.TomlReader
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.io.IOException
import java.io.PrintWriter
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable

/**
 * The command `arbutusd`.
 *
 * Exit codes: 0 after a graceful shutdown, 1 when the shutdown interrupted requests, 2 for invalid usage or settings.
 * With invalid settings nothing is started, and each error names file, line and key. [awaitStop] blocks until the
 * process is asked to stop.
 */
@Command(name = "arbutusd", mixinStandardHelpOptions = true, description = ["Runs the gateway on this host."])
public class Arbutusd(
    private val createNode: (DaemonSettings) -> Node = ::Node,
    private val errors: PrintWriter = PrintWriter(System.err, true),
    private val awaitStop: (Node) -> Unit,
) : Callable<Int> {
    @Option(names = ["--settings"], required = true, paramLabel = "FILE", description = ["Settings in TOML."])
    private lateinit var settingsFile: Path

    override fun call(): Int {
        val text = try {
            Files.readString(settingsFile)
        } catch (e: IOException) {
            return reportErrors("$settingsFile: cannot be read: $e")
        }
        return reader.read(text).fold(
            { errors -> reportErrors(*errors.map { it.describe("$settingsFile") }.toTypedArray()) },
            { settings -> run(settings, text) },
        )
    }

    private fun run(settings: DaemonSettings, text: String): Int {
        val node = createNode(settings)
        runBlocking { node.start() }.onLeft { return reportErrors(describe(it, text)) }
        awaitStop(node)
        return if (runBlocking { node.stop() }) EXIT_DONE else EXIT_INTERRUPTED
    }

    private fun describe(error: StartError, text: String): String =
        TomlError(TomlReader.lineOf(text, error.key), error.key, error.message).describe("$settingsFile")

    private fun reportErrors(vararg messages: String): Int {
        messages.forEach { errors.println("arbutusd: $it") }
        return EXIT_SETTINGS
    }

    public companion object {
        /** Exit code after a graceful shutdown. */
        public const val EXIT_DONE: Int = 0

        /** Exit code when the shutdown interrupted requests. */
        public const val EXIT_INTERRUPTED: Int = 1

        /** Exit code for invalid usage or settings. */
        public const val EXIT_SETTINGS: Int = 2

        private val reader = TomlReader.ofDaemonSettings()

        /** Runs the command and returns its exit code. */
        public fun run(command: Arbutusd, vararg arguments: String): Int =
            CommandLine(command).execute(*arguments)
    }
}
