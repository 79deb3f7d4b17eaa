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
import org.balsambank.core.idempotency.StoredResponse;
import org.balsambank.protocol.generated.relay.RelayEvent;
import org.balsambank.protocol.generated.relay.RelayHead;
import org.balsambank.protocol.generated.relay.RelayHeader;

/**
 * One call with an idempotency key.
 *
 * <p>Invariants: the call is sent only after its record is stored; the end of the response is forwarded only after
 * storing the response was attempted; a record is abandoned only if no attempt can have run. Confined to the decision
 * loop.
 */
final class IdempotentCall {
    /** Maximum size of a stored response body. Larger responses are not stored. */
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
     * @param gate stores the record
     * @param state the state machine of the request
     */
    IdempotentCall(final IdempotencyGate gate, final RequestState state) {
        this.gate = Objects.requireNonNull(gate);
        this.state = Objects.requireNonNull(state);
    }

    /**
     * Runs the call, or replays the stored response if the call has already completed.
     *
     * @param plan the request plan
     * @param key the idempotency key
     * @param run sends the request when subscribed to
     * @return the events for the caller
     */
    Flowable<RelayEvent> events(final RequestPlan plan, final IdempotencyKey key, final Flowable<RelayEvent> run) {
        return gate.begin(plan.caller().team(), key, plan.fingerprint())
                .flatMapPublisher(decision -> onDecision(decision, run));
    }

    /**
     * Detaches a call from its caller: the call continues after the caller disconnects, so that a repeated call finds
     * the response.
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

    private Flowable<RelayEvent> onDecision(final IdempotencyDecision decision, final Flowable<RelayEvent> run) {
        if (decision instanceof IdempotencyDecision.Run claim) {
            state.recorded();
            return runRecorded(claim, run);
        }
        if (decision instanceof IdempotencyDecision.Completed completed) {
            return replay(completed.response());
        }
        return Flowable.error(rejection(decision));
    }

    private Flowable<RelayEvent> runRecorded(final IdempotencyDecision.Run claim, final Flowable<RelayEvent> run) {
        return run.concatMap(event -> event.hasEnd()
                        ? storeResponse(claim).andThen(Flowable.just(event))
                        : Flowable.just(buffer(event)))
                .onErrorResumeNext(
                        error -> storeFailure(claim, FailureMapper.of(error)).andThen(Flowable.error(error)));
    }

    private RelayEvent buffer(final RelayEvent event) {
        if (event.hasHead()) {
            head = event.getHead();
        }
        if (event.hasChunk() && !tooLarge) {
            body = body.concat(event.getChunk().getData());
            tooLarge = body.size() > MAX_STORED_BYTES;
        }
        return event;
    }

    private Completable storeResponse(final IdempotencyDecision.Run claim) {
        if (tooLarge) {
            return gate.markOutcomeUnknown(claim).onErrorComplete();
        }
        final String contentType = head.getHeadersList().stream()
                .filter(header -> header.getName().equalsIgnoreCase(CONTENT_TYPE))
                .map(RelayHeader::getValue)
                .findFirst()
                .orElse("");
        return gate.complete(claim, new StoredResponse(head.getStatus(), contentType, body))
                .onErrorComplete();
    }

    private Completable storeFailure(final IdempotencyDecision.Run claim, final BalsambankException error) {
        if (error.kind().executed() == Executed.NO && !state.mayHaveRun()) {
            return gate.abandon(claim).onErrorComplete();
        }
        return gate.markOutcomeUnknown(claim).onErrorComplete();
    }

    private static Flowable<RelayEvent> replay(final StoredResponse response) {
        final RelayHead.Builder head = RelayHead.newBuilder().setStatus(response.status());
        if (!response.contentType().isEmpty()) {
            head.addHeaders(RelayHeader.newBuilder().setName(CONTENT_TYPE).setValue(response.contentType()));
        }
        return Flowable.just(
                RelayEvent.newBuilder().setHead(head).build(),
                ResponseFilters.chunk(response.body()),
                ResponseFilters.end(response.body().size()));
    }

    private static BalsambankException rejection(final IdempotencyDecision decision) {
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
