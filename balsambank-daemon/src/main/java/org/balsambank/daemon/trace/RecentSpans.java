package org.balsambank.daemon.trace;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;

/**
 * An exporter that keeps the most recently ended spans in memory, for the HTTP server for operators.
 *
 * <p>Invariant: keeps at most the given number of spans. Thread-safe.
 */
public final class RecentSpans implements SpanExporter {
    /** The resource attribute that holds the id of the VM. */
    public static final AttributeKey<String> VM_ID_ATTRIBUTE = AttributeKey.stringKey("service.instance.id");

    private final int capacity;
    private final Deque<SpanData> spans = new ArrayDeque<>();

    /**
     * Creates an exporter without spans.
     *
     * @param capacity the maximum number of spans to keep
     */
    public RecentSpans(final int capacity) {
        this.capacity = capacity;
    }

    @Override
    public synchronized CompletableResultCode export(final Collection<SpanData> ended) {
        for (final SpanData span : ended) {
            if (spans.size() >= capacity) {
                spans.removeFirst();
            }
            spans.addLast(span);
        }
        return CompletableResultCode.ofSuccess();
    }

    /**
     * Returns the kept spans of a trace in the order in which they ended.
     *
     * @param traceId the id of the trace
     * @return the spans
     */
    public synchronized List<SpanData> ofTrace(final String traceId) {
        return spans.stream().filter(span -> span.getTraceId().equals(traceId)).toList();
    }

    @Override
    public CompletableResultCode flush() {
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
        return CompletableResultCode.ofSuccess();
    }
}
