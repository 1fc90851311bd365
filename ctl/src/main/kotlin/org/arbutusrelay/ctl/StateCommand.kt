package org.arbutusrelay.ctl

import kotlinx.serialization.json.Json
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Spec
import java.util.concurrent.Callable

/** Base of commands that query [path] on an entry host and print the response as JSON or as a table. */
internal abstract class StateCommand(private val path: String) : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    @Mixin
    lateinit var operator: OperatorOptions

    @Option(names = ["--json"], description = ["Print the result as JSON."])
    var isJson: Boolean = false

    override fun call(): Int = spec.print(operator.get(path).map { if (isJson) it else format(it) })

    /** Formats the JSON document [json] as human-readable text. */
    protected abstract fun format(json: String): String

    protected companion object {
        @JvmStatic
        protected val JSON: Json = Json { ignoreUnknownKeys = true }
    }
}
