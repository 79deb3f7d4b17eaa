package org.balsambank.daemon.trace;

import java.util.List;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.IdempotencyKey;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.idempotency.IdempotencyDecision;
import org.balsambank.core.idempotency.IdempotencyGate;
import org.balsambank.core.idempotency.StoredResponse;
import org.balsambank.core.request.Spans;
import org.balsambank.core.request.TracedIdempotencyGate;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests that calls of the idempotency gate have spans with the request's span as parent. Confined to one thread. */
final class TracedIdempotencyGateTest {
    private static final IdempotencyDecision.Run RUN =
            new IdempotencyDecision.Run(new TeamId("ribera"), new IdempotencyKey("k"), "a");

    private final RecentSpans recent = new RecentSpans(10);
    private final Spans spans = new Spans(SdkTracerProvider.builder()
            .addSpanProcessor(SimpleSpanProcessor.create(recent))
            .build()
            .get("test"));
    private final Span caller = spans.open("caller", "");
    private final IdempotencyGate gate =
            new TracedIdempotencyGate(new FailingAbandonGate(), spans, Spans.traceParent(caller, ""));

    @Test
    void gateCallsHaveRequestSpanAsParent() {
        gate.begin(RUN.team(), RUN.key(), new Fingerprint("f")).test().assertValue(RUN);
        gate.abandon(RUN).test().assertError(BalsambankException.class);
        final List<SpanData> ended = recent.ofTrace(caller.getSpanContext().getTraceId());
        assertEquals(
                List.of("record", "outcome"),
                ended.stream().map(SpanData::getName).toList());
        ended.forEach(span -> assertEquals(caller.getSpanContext().getSpanId(), span.getParentSpanId()));
    }

    /** A gate whose {@code abandon} fails. Confined to one thread. */
    private static final class FailingAbandonGate implements IdempotencyGate {
        @Override
        public Single<IdempotencyDecision> begin(
                final TeamId team, final IdempotencyKey key, final Fingerprint fingerprint) {
            return Single.just(RUN);
        }

        @Override
        public Completable complete(final IdempotencyDecision.Run run, final StoredResponse response) {
            return Completable.complete();
        }

        @Override
        public Completable abandon(final IdempotencyDecision.Run run) {
            return Completable.error(new BalsambankException(ErrorKind.IDEMPOTENCY_UNAVAILABLE, "out"));
        }
    }
}
