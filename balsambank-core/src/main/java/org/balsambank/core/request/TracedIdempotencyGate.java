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
import org.balsambank.core.idempotency.StoredResponse;

/**
 * Traces the accesses to the idempotency record of a call in the key-value service.
 *
 * <p>Confined to the decision loop. Each span ends when its access completes, fails or is cancelled.
 */
public final class TracedIdempotencyGate implements IdempotencyGate {
    /** Name of the span for recording a call before it runs. */
    public static final String RECORD_SPAN = "record";

    /** Name of the span for storing the outcome of a call. */
    public static final String OUTCOME_SPAN = "outcome";

    private final IdempotencyGate gate;
    private final Spans spans;
    private final String traceParent;

    /**
     * Creates a gate for one call.
     *
     * @param gate the gate to delegate to
     * @param spans opens trace spans
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
    public Completable complete(final IdempotencyDecision.Run run, final StoredResponse response) {
        return traceOutcome(gate.complete(run, response));
    }

    @Override
    public Completable abandon(final IdempotencyDecision.Run run) {
        return traceOutcome(gate.abandon(run));
    }

    @Override
    public Completable markOutcomeUnknown(final IdempotencyDecision.Run run) {
        return traceOutcome(gate.markOutcomeUnknown(run));
    }

    private Completable traceOutcome(final Completable access) {
        return Completable.using(
                () -> spans.open(OUTCOME_SPAN, traceParent),
                span -> access.doOnError(error -> Spans.fail(span, error)),
                Span::end);
    }
}
