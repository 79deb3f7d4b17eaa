package org.balsambank.core.request;

import java.util.Objects;

import com.google.protobuf.ByteString;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.flowables.ConnectableFlowable;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.error.Executed;
import org.balsambank.core.id.IdempotencyKey;
import org.balsambank.core.idempotency.IdempotencyDecision;
import org.balsambank.core.idempotency.IdempotencyGate;
import org.balsambank.core.idempotency.StoredAnswer;
import org.balsambank.protocol.generated.relay.RelayEvent;
import org.balsambank.protocol.generated.relay.RelayHead;
import org.balsambank.protocol.generated.relay.RelayHeader;

/**
 * One call with an idempotency key.
 *
 * <p>Invariants: the call is sent only after its record is kept; the caller gets the end only after the answer was
 * offered to the record; a record is taken back only if no attempt can have run. Confined to the decision loop.
 */
final class IdempotentCall {
    /** The size above which an answer is not kept. */
    static final int MAX_STORED_BYTES = 64 << 10;

    private static final String CONTENT_TYPE = "content-type";
    private static final int BUFFERED_EVENTS = 16;

    private final IdempotencyGate gate;
    private final RequestState state;
    private RelayHead head = RelayHead.getDefaultInstance();
    private ByteString body = ByteString.EMPTY;
    private boolean tooLarge;

    /**
     * Creates a call.
     *
     * @param gate keeps the record
     * @param state the state machine of the request
     */
    IdempotentCall(final IdempotencyGate gate, final RequestState state) {
        this.gate = Objects.requireNonNull(gate);
        this.state = Objects.requireNonNull(state);
    }

    /**
     * Runs the call unless it ran before.
     *
     * @param plan what the request comes to
     * @param key the key of the call
     * @param run sends the request when subscribed to
     * @return the events for the caller
     */
    Flowable<RelayEvent> events(final RequestPlan plan, final IdempotencyKey key, final Flowable<RelayEvent> run) {
        return gate.begin(plan.caller().team(), key, plan.fingerprint())
                .flatMapPublisher(decision -> decided(decision, run));
    }

    /**
     * Lets a call go on when its caller goes away, so that a repeat finds the answer.
     *
     * @param call the events of the call
     * @return the same events; cancelling them does not cancel the call
     */
    static Flowable<RelayEvent> detached(final Flowable<RelayEvent> call) {
        return Flowable.defer(() -> {
            final ConnectableFlowable<RelayEvent> shared = call.publish(BUFFERED_EVENTS);
            return shared.autoConnect(1).doOnCancel(() -> shared.subscribe(event -> {}, error -> {}));
        });
    }

    private Flowable<RelayEvent> decided(final IdempotencyDecision decision, final Flowable<RelayEvent> run) {
        if (decision instanceof IdempotencyDecision.Run right) {
            state.recorded();
            return recorded(right, run);
        }
        if (decision instanceof IdempotencyDecision.Completed completed) {
            return replay(completed.answer());
        }
        return Flowable.error(refusal(decision));
    }

    private Flowable<RelayEvent> recorded(final IdempotencyDecision.Run right, final Flowable<RelayEvent> run) {
        return run.concatMap(event ->
                        event.hasEnd() ? stored(right).andThen(Flowable.just(event)) : Flowable.just(collect(event)))
                .onErrorResumeNext(
                        error -> failed(right, FailureMapper.of(error)).andThen(Flowable.error(error)));
    }

    private RelayEvent collect(final RelayEvent event) {
        if (event.hasHead()) {
            head = event.getHead();
        }
        if (event.hasChunk() && !tooLarge) {
            body = body.concat(event.getChunk().getData());
            tooLarge = body.size() > MAX_STORED_BYTES;
        }
        return event;
    }

    private Completable stored(final IdempotencyDecision.Run right) {
        if (tooLarge) {
            return gate.markOutcomeUnknown(right).onErrorComplete();
        }
        final String contentType = head.getHeadersList().stream()
                .filter(header -> header.getName().equalsIgnoreCase(CONTENT_TYPE))
                .map(RelayHeader::getValue)
                .findFirst()
                .orElse("");
        return gate.complete(right, new StoredAnswer(head.getStatus(), contentType, body))
                .onErrorComplete();
    }

    private Completable failed(final IdempotencyDecision.Run right, final BalsambankException error) {
        if (error.kind().executed() == Executed.NO && !state.mayHaveRun()) {
            return gate.abandon(right).onErrorComplete();
        }
        return gate.markOutcomeUnknown(right).onErrorComplete();
    }

    private static Flowable<RelayEvent> replay(final StoredAnswer answer) {
        final RelayHead.Builder head = RelayHead.newBuilder().setStatus(answer.status());
        if (!answer.contentType().isEmpty()) {
            head.addHeaders(RelayHeader.newBuilder().setName(CONTENT_TYPE).setValue(answer.contentType()));
        }
        return Flowable.just(
                RelayEvent.newBuilder().setHead(head).build(),
                ResponseFilters.chunk(answer.body()),
                ResponseFilters.end(answer.body().size()));
    }

    private static BalsambankException refusal(final IdempotencyDecision decision) {
        if (decision instanceof IdempotencyDecision.Running) {
            return new BalsambankException(ErrorKind.IDEMPOTENCY_RUNNING, "the call with this key is running");
        }
        if (decision instanceof IdempotencyDecision.Mismatch) {
            return new BalsambankException(
                    ErrorKind.IDEMPOTENCY_MISMATCH, "the idempotency key was used for another call");
        }
        return new BalsambankException(ErrorKind.IDEMPOTENCY_UNKNOWN, "the call may have run; its outcome is unknown");
    }
}
