package org.arbutusrelay.daemon.observe

import io.opentelemetry.sdk.common.CompletableResultCode
import io.opentelemetry.sdk.trace.data.SpanData
import io.opentelemetry.sdk.trace.export.SpanExporter
import org.apache.logging.log4j.LogManager

/** Exports each span as one log line. */
internal class LoggedSpanExporter : SpanExporter {
    private val logger = LogManager.getLogger(LoggedSpanExporter::class.java)

    override fun export(spans: Collection<SpanData>): CompletableResultCode {
        for (span in spans) {
            val durationMs = (span.endEpochNanos - span.startEpochNanos) / NANOS_PER_MS
            logger.info(
                "span {} trace={} id={} parent={} durationMs={} status={} attributes={}",
                span.name,
                span.traceId,
                span.spanId,
                span.parentSpanId,
                durationMs,
                span.status.statusCode,
                span.attributes.asMap(),
            )
        }
        return CompletableResultCode.ofSuccess()
    }

    override fun flush(): CompletableResultCode = CompletableResultCode.ofSuccess()

    override fun shutdown(): CompletableResultCode = CompletableResultCode.ofSuccess()

    private companion object {
        private const val NANOS_PER_MS = 1_000_000
    }
}
