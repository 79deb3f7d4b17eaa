package org.balsambank.core.request;

import java.util.Objects;

import io.opentelemetry.api.trace.Span;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.IdempotencyKey;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.idempotency.IdempotencyDecision;
import org.balsambank.core.idempotency.IdempotencyGate;
import org.balsambank.core.idempotency.StoredAnswer;

/**
 * Opens a span for each hop of a call to its record in the key-value service.
 *
 * <p>Confined to the decision loop. The spans end with the hops, however these end.
 */
public final class TracedIdempotencyGate implements IdempotencyGate {
    /** The span of the hop that records a call before it runs. */
    public static final String RECORD_SPAN = "record";

    /** The span of the hop that keeps how a call ended. */
    public static final String OUTCOME_SPAN = "outcome";

    private final IdempotencyGate gate;
    private final Spans spans;
    private final String traceParent;

    /**
     * Creates a gate for one call.
     *
     * @param gate keeps the record
     * @param spans opens the spans
     * @param traceParent the W3C trace context of the call
     */
    public TracedIdempotencyGate(final IdempotencyGate gate, final Spans spans, final String traceParent) {
        this.gate = Objects.requireNonNull(gate);
        this.spans = Objects.requireNonNull(spans);
        this.traceParent = Objects.requireNonNull(traceParent);
    }

    @Override
    public Single<IdempotencyDecision> begin(
            final TeamId team, final IdempotencyKey key, final Fingerprint fingerprint) {
        return Single.using(
                () -> spans.open(RECORD_SPAN, traceParent),
                span -> gate.begin(team, key, fingerprint).doOnError(error -> Spans.fail(span, error)),
                Span::end);
    }

    @Override
    public Completable complete(final IdempotencyDecision.Run run, final StoredAnswer answer) {
        return outcome(gate.complete(run, answer));
    }

    @Override
    public Completable abandon(final IdempotencyDecision.Run run) {
        return outcome(gate.abandon(run));
    }

    @Override
    public Completable markOutcomeUnknown(final IdempotencyDecision.Run run) {
        return outcome(gate.markOutcomeUnknown(run));
    }

    private Completable outcome(final Completable hop) {
        return Completable.using(
                () -> spans.open(OUTCOME_SPAN, traceParent),
                span -> hop.doOnError(error -> Spans.fail(span, error)),
                Span::end);
    }
}
