package org.arbutusrelay.daemon.observe

import io.opentelemetry.api.common.AttributeKey
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.Tracer
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter
import io.opentelemetry.sdk.resources.Resource
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor
import io.opentelemetry.sdk.trace.export.SpanExporter
import org.arbutusrelay.schema.settings.TraceSettings

/**
 * Creates the spans of a request: one for each hop and one for the wait in the queue.
 *
 * Without an OTLP endpoint and without logging no span is recorded, but the trace context is still propagated.
 * [exporter] receives each span when it ends; tests use it.
 */
public class Tracing(hostName: String, settings: TraceSettings? = null, exporter: SpanExporter? = null) :
    AutoCloseable {
    private val provider: SdkTracerProvider = SdkTracerProvider.builder()
        .setResource(Resource.builder().put("service.name", "arbutusd").put("host.name", hostName).build())
        .apply {
            settings?.otlpEndpoint?.let { endpoint ->
                val otlp = OtlpHttpSpanExporter.builder().setEndpoint(endpoint).build()
                addSpanProcessor(BatchSpanProcessor.builder(otlp).build())
            }
            if (settings?.isLogged == true) addSpanProcessor(SimpleSpanProcessor.create(LoggedSpanExporter()))
            exporter?.let { addSpanProcessor(SimpleSpanProcessor.create(it)) }
        }
        .build()
    private val tracer: Tracer = provider.get("org.arbutusrelay")

    /** Starts a server span with the remote parent [traceParent], which may be empty or malformed. */
    public fun startRemote(name: String, traceParent: String): HopSpan {
        val parent = W3CTraceContextPropagator.getInstance().extract(Context.root(), traceParent, TraceParentGetter)
        return start(name, SpanKind.SERVER, parent)
    }

    /** Starts a child span of [parent]; [isClient] marks it as a call to another process. */
    public fun startChild(name: String, parent: HopSpan, isClient: Boolean = false): HopSpan =
        start(name, if (isClient) SpanKind.CLIENT else SpanKind.INTERNAL, parent.context)

    /** Exports the buffered spans and shuts down. */
    override fun close(): Unit = provider.close()

    private fun start(name: String, kind: SpanKind, parent: Context): HopSpan {
        val span = tracer.spanBuilder(name).setSpanKind(kind).setParent(parent).startSpan()
        return HopSpan(span, parent.with(span))
    }

    private object TraceParentGetter : TextMapGetter<String> {
        override fun keys(carrier: String): Iterable<String> = listOf(TRACE_PARENT)

        override fun get(carrier: String?, key: String): String? = carrier.takeIf { key == TRACE_PARENT }
    }

    private companion object {
        private const val TRACE_PARENT = "traceparent"
    }
}

/** A span of one hop. */
public class HopSpan internal constructor(private val span: Span, internal val context: Context) {
    /** Value of the `traceparent` header that makes remote spans children of this one. */
    public val traceParent: String
        get() = span.spanContext.run { "00-$traceId-$spanId-${traceFlags.asHex()}" }

    /** Sets the attribute [key]. */
    public fun put(key: String, value: String) {
        span.setAttribute(AttributeKey.stringKey(key), value)
    }

    /** Ends the span; [errorKind] marks it as failed. */
    public fun end(errorKind: String? = null) {
        if (errorKind != null) span.setStatus(StatusCode.ERROR, errorKind)
        span.end()
    }
}
