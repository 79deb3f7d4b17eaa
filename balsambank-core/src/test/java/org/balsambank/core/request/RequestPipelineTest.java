package org.balsambank.core.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subscribers.TestSubscriber;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.port.TargetException;
import org.balsambank.core.port.TargetNotice;
import org.balsambank.core.target.TargetOutcome;
import org.balsambank.protocol.generated.relay.RelayEvent;
import org.balsambank.protocol.generated.relay.RelayHeader;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests request processing on one VM that is both entry VM and target owner. Confined to one thread. */
final class RequestPipelineTest {
    private final EntryFixture fixture = new EntryFixture();

    @AfterEach
    void noInvariantIsViolated() {
        assertEquals(List.of(), fixture.invariants.violations());
    }

    @Test
    void streamsResponseAndSettlesUnits() {
        final TestSubscriber<RelayEvent> caller = call(fixture.completion("r1", true));
        caller.assertComplete();
        assertTrue(text(caller).endsWith("data: [DONE]\n\n"));
        assertEquals("sorting@3", model(0));
        assertEquals(List.of(TargetOutcome.COMPLETED), fixture.released);
        assertEquals(1, fixture.settled.size());
    }

    @Test
    void settlesReportedTokens() {
        call(fixture.completion("r1", false)).assertComplete();
        assertEquals(List.of(7.0), fixture.settled);
    }

    @Test
    void rejectsUnknownKey() {
        final CallerRequest withKnownKey = fixture.completion("r1", false);
        final CallerRequest withUnknownKey = new CallerRequest(
                withKnownKey.id(),
                Optional.of("other"),
                withKnownKey.subject(),
                withKnownKey.httpMethod(),
                withKnownKey.path(),
                withKnownKey.headers(),
                withKnownKey.body(),
                false,
                1,
                0,
                Optional.empty(),
                withKnownKey.deadlineNanos(),
                "");
        assertEquals(ErrorKind.UNAUTHENTICATED, kind(call(withUnknownKey)));
        assertEquals(0, fixture.targets.sent().size());
    }

    @Test
    void retriesOnNextTargetWhenFirstRefuses() {
        refuse(TargetException.Reason.REFUSED);
        final TestSubscriber<RelayEvent> caller = call(fixture.printRequest("r1", Optional.empty()));
        fixture.advance(Duration.ofSeconds(1));
        caller.assertComplete();
        assertEquals(1, fixture.targets.runs("r1"));
        assertEquals(List.of(TargetOutcome.REFUSED, TargetOutcome.COMPLETED), fixture.released);
    }

    // Guards against LIMIT, DRAIN and BUDGET: what targets say of themselves does not reach the gate of their owner.
    @Test
    void gateLearnsWhatTargetsSayOfThemselves() {
        final TargetNotice pause = new TargetNotice(false, Optional.of("3"), List.of());
        fixture.targets.script(
                EntryFixture.FIRST,
                request -> Flowable.error(new TargetException(TargetException.Reason.REFUSED, "busy", pause)));
        fixture.targets.script(
                EntryFixture.SECOND,
                request -> fixture.targets.completeResponse(request).map(RequestPipelineTest::withLimit));
        final TestSubscriber<RelayEvent> caller = call(fixture.printRequest("r1", Optional.empty()));
        fixture.advance(Duration.ofSeconds(1));
        caller.assertComplete();
        assertEquals(List.of(pause, new TargetNotice(false, Optional.empty(), List.of("1.5"))), fixture.notices);
    }

    private static RelayEvent withLimit(final RelayEvent event) {
        if (!event.hasHead()) {
            return event;
        }
        final RelayHeader limit = RelayHeader.newBuilder()
                .setName(NoticeHeaders.REQUEST_LIMIT)
                .setValue("1.5")
                .build();
        return event.toBuilder()
                .setHead(event.getHead().toBuilder().addHeaders(limit))
                .build();
    }

    @Test
    void neverRetriesNonIdempotentCall() {
        fixture.targets.script(EntryFixture.FIRST, request -> {
            fixture.targets.recordRun(request.getRequestId());
            return Flowable.error(new TargetException(TargetException.Reason.LOST, "reset"));
        });
        final TestSubscriber<RelayEvent> caller = call(fixture.printRequest("r1", Optional.empty()));
        fixture.advance(Duration.ofMinutes(1));
        assertEquals(ErrorKind.TARGET_LOST, kind(caller));
        assertEquals(1, fixture.targets.runs("r1"));
        assertEquals(List.of(TargetOutcome.LOST), fixture.released);
    }

    @Test
    void neverForwardsResponseOfOtherAdapter() {
        fixture.order = List.of(EntryFixture.FIRST);
        for (final boolean streaming : List.of(true, false)) {
            fixture.targets.script(
                    EntryFixture.FIRST,
                    request -> streaming
                            ? ScriptedTargets.response(200, ScriptedTargets.event("sorting@2", "a"), "data: [DONE]\n\n")
                            : ScriptedTargets.response(200, "{\"model\":\"sorting@2\"}"));
            final TestSubscriber<RelayEvent> caller = call(fixture.completion("r" + streaming, streaming));
            fixture.advance(Duration.ofSeconds(1));
            assertEquals(ErrorKind.WRONG_ADAPTER, kind(caller));
            caller.assertNoValues();
        }
    }

    @Test
    void rejectsQueuedRequestOfWithdrawnKey() {
        fixture.gate = request -> fixture.timer
                .after(Duration.ofSeconds(2))
                .toSingle(() -> fixture.permit(Optional.of(new org.balsambank.core.id.Epoch(1))));
        final TestSubscriber<RelayEvent> caller = call(fixture.completion("r1", false));
        fixture.catalogues.onNext(EntryFixture.catalogue(2, List.of("other")));
        fixture.advance(Duration.ofSeconds(3));
        assertEquals(ErrorKind.KEY_WITHDRAWN, kind(caller));
        assertEquals(0, fixture.targets.sent().size());
        assertEquals(List.of(0.0), fixture.settled);
        assertEquals(List.of(TargetOutcome.NOT_SENT), fixture.released);
    }

    @Test
    void cancelsAtTargetWhenCallerDisconnects() {
        fixture.targets.script(EntryFixture.FIRST, request -> Flowable.just(ScriptedTargets.head(200))
                .concatWith(Flowable.never()));
        call(fixture.completion("r1", true)).cancel();
        assertEquals(List.of(TargetOutcome.CANCELLED), fixture.released);
        assertEquals(1, fixture.settled.size());
        assertEquals(0, fixture.inFlight.count());
    }

    @Test
    void leavesQueueWhenDeadlinePasses() {
        fixture.gate = request -> Single.never();
        final TestSubscriber<RelayEvent> caller = call(fixture.printRequest("r1", Optional.empty()));
        fixture.advance(EntryFixture.DEADLINE.plusSeconds(2));
        assertEquals(ErrorKind.DEADLINE_BEFORE_RUN, kind(caller));
        assertEquals(List.of(0.0), fixture.settled);
    }

    @Test
    void repeatedCallWithIdempotencyKeyGetsStoredResponse() {
        fixture.targets.script(EntryFixture.FIRST, request -> {
            fixture.targets.recordRun("print");
            return ScriptedTargets.response(201, "done");
        });
        final RequestPipeline pipeline = fixture.pipeline();
        final TestSubscriber<RelayEvent> first =
                pipeline.handle(fixture.printRequest("r1", Optional.of("k"))).test();
        final TestSubscriber<RelayEvent> repeat =
                pipeline.handle(fixture.printRequest("r2", Optional.of("k"))).test();
        first.assertComplete();
        repeat.assertComplete();
        assertEquals(text(first), text(repeat));
        assertEquals(1, fixture.targets.runs("print"));
    }

    @Test
    void rejectsNewRequestsWhileStoppingAndWaitsForInFlightOnes() {
        fixture.gate = request -> fixture.timer
                .after(Duration.ofSeconds(2))
                .toSingle(() -> fixture.permit(Optional.of(new org.balsambank.core.id.Epoch(1))));
        final RequestPipeline pipeline = fixture.pipeline();
        final TestSubscriber<RelayEvent> running =
                pipeline.handle(fixture.completion("r1", true)).test();
        final var stopped = fixture.inFlight.stop().test();
        assertEquals(
                ErrorKind.STOPPING,
                kind(pipeline.handle(fixture.completion("r2", true)).test()));
        stopped.assertNotComplete();
        fixture.advance(Duration.ofSeconds(3));
        running.assertComplete();
        stopped.assertComplete();
    }

    private TestSubscriber<RelayEvent> call(final CallerRequest request) {
        return fixture.pipeline().handle(request).test();
    }

    private void refuse(final TargetException.Reason reason) {
        fixture.targets.script(EntryFixture.FIRST, request -> Flowable.error(new TargetException(reason, "refused")));
        fixture.targets.script(EntryFixture.SECOND, request -> {
            fixture.targets.recordRun(request.getRequestId());
            return ScriptedTargets.response(200, "done");
        });
    }

    private String model(final int index) {
        final String body = fixture.targets.sent().get(index).getBody().toStringUtf8();
        return CompletionResponse.model(CompletionResponse.json(com.google.protobuf.ByteString.copyFromUtf8(body))
                .orElseThrow());
    }

    private static ErrorKind kind(final TestSubscriber<RelayEvent> caller) {
        final Throwable[] error = new Throwable[1];
        caller.assertError(failure -> {
            error[0] = failure;
            return true;
        });
        return ((BalsambankException) error[0]).kind();
    }

    private static String text(final TestSubscriber<RelayEvent> caller) {
        final StringBuilder text = new StringBuilder();
        caller.values().stream()
                .filter(RelayEvent::hasChunk)
                .forEach(event -> text.append(event.getChunk().getData().toStringUtf8()));
        return text.toString();
    }
}
