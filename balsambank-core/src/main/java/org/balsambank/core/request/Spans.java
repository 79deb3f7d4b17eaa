package org.balsambank.core.request;

import java.util.Map;
import java.util.Objects;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;

/**
 * Opens the trace spans of requests.
 *
 * <p>Thread-safe. Spans contain no keys and no bodies.
 */
public final class Spans {
    private static final String HEADER = "traceparent";
    private static final W3CTraceContextPropagator W3C = W3CTraceContextPropagator.getInstance();

    private final Tracer tracer;

    /**
     * Creates an instance that uses a tracer.
     *
     * @param tracer creates the spans
     */
    public Spans(final Tracer tracer) {
        this.tracer = Objects.requireNonNull(tracer);
    }

    /**
     * Opens a child span.
     *
     * @param name the name of the span
     * @param traceParent the W3C trace context of the parent span; may be empty
     * @return the span; the caller must end it
     */
    public Span open(final String name, final String traceParent) {
        final Context parent = W3C.extract(Context.root(), Map.of(HEADER, traceParent), Getter.INSTANCE);
        return tracer.spanBuilder(name).setParent(parent).startSpan();
    }

    /**
     * Serializes the context of a span for propagation to the next hop.
     *
     * @param span the span whose context is propagated
     * @param fallback the value to return if the span has no valid context
     * @return the W3C trace context
     */
    public static String traceParent(final Span span, final String fallback) {
        final String[] text = {fallback};
        W3C.inject(Context.root().with(span), text, (carrier, key, value) -> {
            if (HEADER.equals(key)) {
                carrier[0] = value;
            }
        });
        return text[0];
    }

    /**
     * Ends a span with error status.
     *
     * @param span the span to end
     * @param error the cause of the failure
     */
    public static void fail(final Span span, final Throwable error) {
        span.setStatus(StatusCode.ERROR, String.valueOf(error.getMessage()));
        span.end();
    }

    /** Reads trace headers from a map. Stateless and thread-safe. */
    private enum Getter implements TextMapGetter<Map<String, String>> {
        /** The only instance. */
        INSTANCE;

        @Override
        public Iterable<String> keys(final Map<String, String> carrier) {
            return carrier.keySet();
        }

        @Override
        public String get(final Map<String, String> carrier, final String key) {
            return carrier == null ? null : carrier.get(key);
        }
    }
}
