package org.balsambank.core.request;

import java.time.Duration;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subscribers.TestSubscriber;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.error.Executed;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.IdempotencyKey;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.idempotency.IdempotencyDecision;
import org.balsambank.core.idempotency.IdempotencyGate;
import org.balsambank.core.idempotency.StoredResponse;
import org.balsambank.core.port.PeerException;
import org.balsambank.core.port.TargetException;
import org.balsambank.protocol.generated.relay.RelayEvent;
import org.balsambank.protocol.generated.relay.RelayRequest;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Provokes each error kind and compares its {@link Executed} value with what the targets ran. Confined to one thread.
 */
final class ErrorKindExecutedTest {
    /** Kinds that the HTTP server reports before a request reaches the core. */
    private static final Set<ErrorKind> HTTP_SERVER_KINDS = EnumSet.of(
            ErrorKind.BODY_TOO_LARGE, ErrorKind.HEADERS_TOO_LARGE, ErrorKind.SLOW_SENDER, ErrorKind.UNKNOWN_ROUTE);
    /** Kinds that the target gate reports before anything is sent. */
    private static final Set<ErrorKind> GATE_KINDS = EnumSet.of(
            ErrorKind.OVERLOADED,
            ErrorKind.ADAPTER_LOAD_FAILED,
            ErrorKind.POISON_REQUEST,
            ErrorKind.POISON_PROMPT_PART,
            ErrorKind.ISOLATED);

    private final EntryFixture fixture = new EntryFixture();
    private final Map<ErrorKind, Consumer<EntryFixture>> causes = new EnumMap<>(ErrorKind.class);
    private CallerRequest request = fixture.printRequest("r1", Optional.empty());

    ErrorKindExecutedTest() {
        GATE_KINDS.forEach(kind -> causes.put(kind, f -> f.gate = admission -> Single.error(error(kind))));
        rejectedBeforeSending();
        failedAfterSending();
        idempotencyErrors();
    }

    @ParameterizedTest
    @EnumSource(ErrorKind.class)
    void ranMatchesWhatTheTargetsRan(final ErrorKind kind) {
        if (HTTP_SERVER_KINDS.contains(kind)) {
            return;
        }
        causes.get(kind).accept(fixture);
        final TestSubscriber<RelayEvent> caller =
                fixture.pipeline().handle(request).test();
        fixture.advance(Duration.ofMinutes(2));
        caller.assertError(failure -> ((BalsambankException) failure).kind() == kind);
        final int runs = fixture.targets.runs("r1");
        assertTrue(kind.executed() != Executed.NO || runs == 0, kind + " ran " + runs);
        assertTrue(kind.executed() != Executed.YES || runs > 0, kind + " ran " + runs);
        assertEquals(List.of(), fixture.invariants.violations());
        assertEquals(0, fixture.inFlight.count());
    }

    private void rejectedBeforeSending() {
        causes.put(ErrorKind.MALFORMED_REQUEST, f -> request = call("sorting", "no JSON"));
        causes.put(ErrorKind.UNKNOWN_ADAPTER, f -> request = call("sorting@9", "{}"));
        causes.put(
                ErrorKind.UNKNOWN_SERVICE,
                f -> request = f.request(
                        "r1",
                        new RequestSubject.ServiceCall(new ServiceName("none"), "/"),
                        false,
                        Optional.empty(),
                        ""));
        for (final ErrorKind kind : List.of(ErrorKind.UNAUTHENTICATED, ErrorKind.FORBIDDEN)) {
            causes.put(kind, f -> f.rejection = Optional.of(error(kind)));
        }
        causes.put(
                ErrorKind.RATE_EXCEEDED, f -> f.rates = (team, units) -> Single.error(error(ErrorKind.RATE_EXCEEDED)));
        causes.put(ErrorKind.NO_TARGET, f -> f.order = List.of());
        causes.put(ErrorKind.NO_OWNER, f -> f.owner = Optional.empty());
        causes.put(ErrorKind.STOPPING, f -> f.inFlight.stop());
        causes.put(ErrorKind.DEADLINE_BEFORE_RUN, f -> f.gate = admission -> Single.never());
        causes.put(
                ErrorKind.KEY_WITHDRAWN,
                f -> f.gate = admission -> {
                    f.catalogues.onNext(EntryFixture.catalogue(2, List.of()));
                    return Single.just(f.permit(Optional.of(new Epoch(1))));
                });
    }

    private void failedAfterSending() {
        causes.put(
                ErrorKind.TARGET_LOST,
                f -> script(f, Flowable.error(new TargetException(TargetException.Reason.LOST, "reset"))));
        causes.put(ErrorKind.DEADLINE_DURING_RUN, f -> script(f, Flowable.never()));
        causes.put(ErrorKind.INTERNAL, f -> script(f, Flowable.error(new IllegalStateException("bug"))));
        causes.put(ErrorKind.TARGET_FAILED, f -> {
            request = f.completion("r1", false);
            script(f, ScriptedTargets.response(500, "no"));
        });
        causes.put(ErrorKind.WRONG_ADAPTER, f -> {
            request = f.completion("r1", false);
            script(f, ScriptedTargets.response(200, "{\"model\":\"other@1\"}"));
        });
        causes.put(
                ErrorKind.PEER_LOST,
                f -> f.peers = new EntryFixture.LocalLink() {
                    @Override
                    <A> Flowable<A> deliver(final Flowable<A> responses) {
                        return responses
                                .ignoreElements()
                                .andThen(Flowable.error(new PeerException(PeerException.Reason.LOST, "cut")));
                    }
                });
    }

    private void idempotencyErrors() {
        idempotencyError(ErrorKind.IDEMPOTENCY_RUNNING, Single.just(new IdempotencyDecision.Running()));
        idempotencyError(ErrorKind.IDEMPOTENCY_UNKNOWN, Single.just(new IdempotencyDecision.Unknown()));
        idempotencyError(ErrorKind.IDEMPOTENCY_MISMATCH, Single.just(new IdempotencyDecision.Mismatch()));
        idempotencyError(ErrorKind.IDEMPOTENCY_UNAVAILABLE, Single.error(error(ErrorKind.IDEMPOTENCY_UNAVAILABLE)));
    }

    private void idempotencyError(final ErrorKind kind, final Single<IdempotencyDecision> decision) {
        causes.put(kind, f -> {
            request = f.printRequest("r1", Optional.of("k"));
            f.idempotency = new FixedGate(decision);
        });
    }

    private CallerRequest call(final String model, final String body) {
        return fixture.request("r1", new RequestSubject.AdapterCall(model), false, Optional.empty(), body);
    }

    private static void script(final EntryFixture fixture, final Flowable<RelayEvent> response) {
        final ScriptedTargets.Script script = (final RelayRequest sent) -> {
            fixture.targets.recordRun(sent.getRequestId());
            return response;
        };
        fixture.targets.script(EntryFixture.FIRST, script);
        fixture.targets.script(EntryFixture.SECOND, script);
    }

    private static BalsambankException error(final ErrorKind kind) {
        return new BalsambankException(kind, "provoked");
    }

    /** Returns a fixed decision. Immutable. */
    private record FixedGate(Single<IdempotencyDecision> decision) implements IdempotencyGate {
        @Override
        public Single<IdempotencyDecision> begin(
                final TeamId team, final IdempotencyKey key, final Fingerprint fingerprint) {
            return decision;
        }

        @Override
        public Completable complete(final IdempotencyDecision.Run run, final StoredResponse response) {
            return Completable.complete();
        }

        @Override
        public Completable abandon(final IdempotencyDecision.Run run) {
            return Completable.complete();
        }
    }
}
