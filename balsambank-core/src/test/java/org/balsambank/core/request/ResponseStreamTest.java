package org.balsambank.core.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.protobuf.ByteString;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.subscribers.TestSubscriber;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.port.PeerException;
import org.balsambank.protocol.generated.relay.RelayEvent;
import org.balsambank.protocol.generated.relay.RelayRequest;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that streamed responses arrive complete or end with an error. Confined to one thread. */
final class ResponseStreamTest {
    private static final String MODEL = EntryFixture.ADAPTER.toString();
    private static final int MAX_READ_AHEAD = 64;

    private final EntryFixture fixture = new EntryFixture();

    @Test
    void brokenStreamResumesOnNextTargetWithoutRepeatingTokens() {
        breakFirstAttemptAfter(3);
        streamTokens("a", "b", "c", "d");
        final TestSubscriber<RelayEvent> caller = call("{\"temperature\":0}");
        caller.assertComplete();
        assertEquals(List.of("a", "b", "c", "d"), texts(caller));
        assertEquals(1, caller.values().stream().filter(RelayEvent::hasHead).count());
        assertEquals(2, resumeFrom());
    }

    @Test
    void brokenNondeterministicStreamEndsWithError() {
        breakFirstAttemptAfter(3);
        streamTokens("a", "b", "c", "d");
        final TestSubscriber<RelayEvent> caller = call("{\"temperature\":0.7}");
        caller.assertError(error -> ((BalsambankException) error).kind() == ErrorKind.PEER_LOST);
        assertEquals(List.of("a", "b"), texts(caller));
    }

    @Test
    void streamWithoutEndMarkerIsIncomplete() {
        fixture.targets.script(
                EntryFixture.FIRST, request -> ScriptedTargets.response(200, ScriptedTargets.event(MODEL, "a")));
        call("{\"temperature\":0}").assertError(error -> ((BalsambankException) error).kind() == ErrorKind.TARGET_LOST);
    }

    @Test
    void endWithLargerSizeThanReceivedIsIncomplete() {
        fixture.targets.script(
                EntryFixture.FIRST,
                request -> Flowable.just(
                        ScriptedTargets.head(200),
                        ScriptedTargets.chunk("half"),
                        ResponseFilters.end("half and half".length())));
        fixture.pipeline()
                .handle(fixture.printRequest("r1", Optional.empty()))
                .test()
                .assertError(error -> ((BalsambankException) error).kind() == ErrorKind.TARGET_LOST);
    }

    @Test
    void eventsSplitAnywhereAreForwardedWhole() {
        final String text =
                ScriptedTargets.event(MODEL, "a") + ScriptedTargets.event(MODEL, "b") + "data: [DONE]\r\n\r\n";
        for (int cut = 1; cut < text.length(); cut++) {
            final String first = text.substring(0, cut);
            final String rest = text.substring(cut);
            fixture.targets.script(EntryFixture.FIRST, request -> ScriptedTargets.response(200, first, rest));
            final TestSubscriber<RelayEvent> caller = call("{\"temperature\":0}");
            caller.assertComplete();
            assertEquals(text, body(caller));
        }
    }

    @Test
    void slowCallerAppliesBackpressureToTarget() {
        final AtomicInteger read = new AtomicInteger();
        fixture.targets.script(EntryFixture.FIRST, request -> Flowable.just(ScriptedTargets.head(200))
                .concatWith(Flowable.range(0, 100_000)
                        .doOnNext(i -> read.incrementAndGet())
                        .map(i -> ScriptedTargets.chunk(ScriptedTargets.event(MODEL, "t" + i)))));
        final TestSubscriber<RelayEvent> caller =
                fixture.pipeline().handle(fixture.completion("r1", true)).test(3);
        caller.assertValueCount(3);
        assertTrue(read.get() <= MAX_READ_AHEAD, "read " + read.get());
        caller.cancel();
    }

    @Test
    void callWithIdempotencyKeyContinuesWithoutItsCaller() {
        fixture.targets.script(EntryFixture.FIRST, request -> {
            fixture.targets.recordRun("print");
            return fixture.timer.after(Duration.ofSeconds(2)).andThen(ScriptedTargets.response(200, "printed"));
        });
        final RequestPipeline pipeline = fixture.pipeline();
        pipeline.handle(fixture.printRequest("r1", Optional.of("k"))).test().cancel();
        fixture.advance(Duration.ofSeconds(3));
        final TestSubscriber<RelayEvent> repeat =
                pipeline.handle(fixture.printRequest("r2", Optional.of("k"))).test();
        repeat.assertComplete();
        assertEquals("printed", body(repeat));
        assertEquals(1, fixture.targets.runs("print"));
        assertEquals(0, fixture.inFlight.count());
    }

    private void breakFirstAttemptAfter(final int events) {
        final AtomicInteger streams = new AtomicInteger();
        fixture.peers = new EntryFixture.LocalLink() {
            @Override
            <A> Flowable<A> deliver(final Flowable<A> responses) {
                return streams.getAndIncrement() > 0
                        ? responses
                        : responses
                                .take(events)
                                .concatWith(Flowable.error(new PeerException(PeerException.Reason.LOST, "cut")));
            }
        };
    }

    private void streamTokens(final String... tokens) {
        final ScriptedTargets.Script script = request -> {
            final int from = CompletionResponse.json(request.getBody())
                    .orElseThrow()
                    .path("resume_from")
                    .asInt();
            final String[] parts = new String[tokens.length - from + 2];
            for (int i = from; i < tokens.length; i++) {
                parts[i - from] = ScriptedTargets.event(MODEL, tokens[i]);
            }
            parts[parts.length - 2] = ": comment\n\n";
            parts[parts.length - 1] = "data: [DONE]\n\n";
            return ScriptedTargets.response(200, parts);
        };
        fixture.targets.script(EntryFixture.FIRST, script);
        fixture.targets.script(EntryFixture.SECOND, script);
    }

    private TestSubscriber<RelayEvent> call(final String body) {
        final CallerRequest request =
                fixture.request("r1", new RequestSubject.AdapterCall("sorting"), true, Optional.empty(), body);
        final TestSubscriber<RelayEvent> caller =
                fixture.pipeline().handle(request).test();
        fixture.advance(Duration.ofSeconds(1));
        return caller;
    }

    private int resumeFrom() {
        final List<RelayRequest> sent = fixture.targets.sent();
        final ByteString last = sent.get(sent.size() - 1).getBody();
        return CompletionResponse.json(last).orElseThrow().path("resume_from").asInt();
    }

    private static List<String> texts(final TestSubscriber<RelayEvent> caller) {
        return body(caller)
                .lines()
                .filter(line -> line.contains("\"text\":"))
                .map(line -> line.replaceAll(".*\"text\":\"(.*?)\".*", "$1"))
                .toList();
    }

    private static String body(final TestSubscriber<RelayEvent> caller) {
        final StringBuilder text = new StringBuilder();
        caller.values().stream()
                .filter(RelayEvent::hasChunk)
                .forEach(event -> text.append(event.getChunk().getData().toStringUtf8()));
        return text.toString();
    }
}
