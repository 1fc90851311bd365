package org.arbutusrelay.daemon

import arrow.core.Either
import kotlinx.coroutines.runBlocking
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.schema.settings.DaemonSettings
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.io.IOException
import java.io.PrintWriter
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable

/** Parses the text of a settings file; the error names line and key. */
public typealias SettingsParser = (String) -> Either<RelayError, DaemonSettings>

/**
 * The command `arbutusd`.
 *
 * Exit codes: 0 after a graceful shutdown, 1 when requests were interrupted, 2 for settings that cannot be used;
 * nothing is started then. [awaitStop] blocks until the process shall stop.
 */
@Command(name = "arbutusd", mixinStandardHelpOptions = true, description = ["Runs the gateway on this host."])
public class Arbutusd(
    private val parser: SettingsParser,
    private val makeDaemon: (DaemonSettings) -> Daemon,
    private val errors: PrintWriter = PrintWriter(System.err, true),
    private val awaitStop: () -> Unit,
) : Callable<Int> {
    @Option(names = ["--settings"], required = true, paramLabel = "FILE", description = ["Settings in TOML."])
    private lateinit var settingsFile: Path

    override fun call(): Int {
        val settings = readSettings() ?: return EXIT_SETTINGS
        val daemon = makeDaemon(settings)
        try {
            daemon.start()
        } catch (e: IOException) {
            return unusable("$settingsFile: bindAddress, callerPort: ${e.message}").also { daemon.close() }
        }
        awaitStop()
        return if (runBlocking { daemon.stop() }) EXIT_DONE else EXIT_INTERRUPTED
    }

    private fun readSettings(): DaemonSettings? {
        val text = try {
            Files.readString(settingsFile)
        } catch (e: IOException) {
            unusable("$settingsFile: cannot be read: $e")
            return null
        }
        return parser(text).fold({ null.also { _ -> unusable("$settingsFile: ${it.detail}") } }, { it })
    }

    private fun unusable(message: String): Int {
        errors.println("arbutusd: $message")
        return EXIT_SETTINGS
    }

    public companion object {
        /** Exit code after a graceful shutdown. */
        public const val EXIT_DONE: Int = 0

        /** Exit code when the shutdown interrupted requests. */
        public const val EXIT_INTERRUPTED: Int = 1

        /** Exit code for wrong usage or settings. */
        public const val EXIT_SETTINGS: Int = 2

        /** Runs the command and returns its exit code. */
        public fun run(command: Arbutusd, vararg arguments: String): Int =
            CommandLine(command).execute(*arguments)
    }
}
