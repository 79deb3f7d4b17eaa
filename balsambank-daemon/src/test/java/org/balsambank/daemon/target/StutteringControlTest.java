package org.balsambank.daemon.target;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import io.vertx.core.internal.VertxInternal;
import org.balsambank.coordination.StutteringServer;
import org.balsambank.coordination.StutteringServer.Place;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.catalogue.TargetKind;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.TargetId;
import org.balsambank.daemon.DecisionLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Tests that no part of a late copy of a response reaches the next report or order. Uses real sockets.
 *
 * <p>Responses to reports and orders have no id. Of the first one the target sends a second copy, cut at every byte.
 */
final class StutteringControlTest {
    private static final Duration PATIENCE = Duration.ofMinutes(2);
    private static final long MAX_WAIT_MILLIS = 20_000;
    private static final Epoch EPOCH = new Epoch(7);
    private static final AdapterRef FIRST = AdapterRef.parse("a@1");
    private static final AdapterRef SECOND = AdapterRef.parse("b@1");
    private static final String DONE = response("200 OK", "");
    private static final String FAILED = response("503 Service Unavailable", "failed");

    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final Vertx vertx = Vertx.vertx();
    private final DecisionLoop loop = new DecisionLoop(((VertxInternal) vertx).createEventLoopContext());
    private final HttpTargetClient client = new HttpTargetClient(
            vertx, loop.timer(), new TargetTimeouts(PATIENCE, PATIENCE, PATIENCE, PATIENCE, PATIENCE), registry);

    @AfterEach
    void close() {
        vertx.close().await();
    }

    // Guards against a report of a boot that has ended, or a target that is taken for lost, after a late copy.
    @ParameterizedTest
    @EnumSource
    void reportIsTheOneOfItsOwnCall(final Place place) throws Exception {
        final Function<Target, Single<String>> report =
                target -> client.report(target).map(found -> found.bootId().value());
        assertSecondIsOwn(place, report, report, report("b1"), report("b2"), "b1", "b2");
    }

    // Guards against an adapter that is taken for loaded where its target has refused to load it.
    @ParameterizedTest
    @EnumSource
    void loadIsNotDoneByTheCopyOfAnother(final Place place) throws Exception {
        assertSecondIsOwn(
                place,
                target -> client.load(target, EPOCH, FIRST).toSingleDefault("loaded"),
                target -> client.load(target, EPOCH, SECOND).toSingleDefault("loaded"),
                DONE,
                FAILED,
                "loaded",
                "status 503");
    }

    // Guards against an adapter that is taken for evicted where its target still holds it.
    @ParameterizedTest
    @EnumSource
    void evictionIsNotDoneByTheCopyOfALoad(final Place place) throws Exception {
        assertSecondIsOwn(
                place,
                target -> client.load(target, EPOCH, FIRST).toSingleDefault("loaded"),
                target -> client.evict(target, EPOCH, FIRST).toSingleDefault("evicted"),
                DONE,
                FAILED,
                "loaded",
                "status 503");
    }

    // Guards against an adapter that is taken for loaded by a head that the target broke off and began anew.
    @Test
    void headThatWasBrokenOffIsNotReadWithTheNextOne() {
        final List<String> faults = new ArrayList<>();
        for (int length = 1; length <= DONE.indexOf("\r\n\r\n"); length++) {
            final StutteringServer server = new StutteringServer(vertx, Place.BEHIND, response -> "");
            server.addResponse(DONE.substring(0, length) + FAILED);
            final String result =
                    result(client.load(target(server.port()), EPOCH, FIRST).toSingleDefault("loaded"));
            if (result.equals("loaded")) {
                faults.add(length + ": " + result);
            }
        }
        assertEquals(List.of(), faults);
    }

    private void assertSecondIsOwn(
            final Place place,
            final Function<Target, Single<String>> firstCall,
            final Function<Target, Single<String>> secondCall,
            final String firstResponse,
            final String secondResponse,
            final String firstResult,
            final String secondResult)
            throws Exception {
        final List<String> faults = new ArrayList<>();
        for (int length = 1; length <= firstResponse.length(); length++) {
            final String part = firstResponse.substring(0, length);
            final StutteringServer server =
                    new StutteringServer(vertx, place, response -> response.equals(firstResponse) ? part : "");
            final Target target = target(server.port());
            server.addResponse(firstResponse);
            assertEquals(firstResult, result(firstCall.apply(target)));
            server.copySent().get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
            server.addResponse(secondResponse);
            final String result = result(secondCall.apply(target));
            if (!result.equals(secondResult) || server.connections() != 2) {
                faults.add(length + ": " + result + " on connection " + server.connections());
            }
        }
        assertEquals(List.of(), faults);
    }

    private String result(final Single<String> call) {
        return call.subscribeOn(loop.timer().scheduler())
                .timeout(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS)
                .onErrorReturn(error -> error.getMessage())
                .blockingGet();
    }

    private static String report(final String bootId) {
        return response(
                "200 OK", "{\"bootId\":\"" + bootId + "\",\"running\":2,\"waiting\":1,\"adapters\":{\"a@1\":2}}");
    }

    private static String response(final String status, final String body) {
        return "HTTP/1.1 " + status + "\r\nServer: runner\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static Target target(final int port) {
        return new Target(
                new TargetId("t"),
                TargetKind.MODEL_RUNNER,
                "127.0.0.1",
                port,
                new FailureDomain("d"),
                Optional.of(new BaseModel("b")),
                Optional.empty(),
                4,
                4,
                true,
                false);
    }
}
