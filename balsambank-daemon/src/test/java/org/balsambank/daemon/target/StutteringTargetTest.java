package org.balsambank.daemon.target;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.subscribers.TestSubscriber;
import io.vertx.core.Vertx;
import io.vertx.core.internal.VertxInternal;
import io.vertx.core.net.NetSocket;
import org.balsambank.coordination.RawServer;
import org.balsambank.coordination.StutteringServer;
import org.balsambank.coordination.StutteringServer.Place;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.catalogue.TargetKind;
import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.TargetId;
import org.balsambank.daemon.DecisionLoop;
import org.balsambank.protocol.generated.relay.RelayEvent;
import org.balsambank.protocol.generated.relay.RelayRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests that no part of a late copy of a response reaches the next request. Uses real sockets.
 *
 * <p>The target answers a first request with a success and a second one with a failure. Of the success it sends a
 * second copy, cut at every byte.
 */
final class StutteringTargetTest {
    private static final Duration PATIENCE = Duration.ofMinutes(2);
    private static final long MAX_WAIT_MILLIS = 20_000;
    private static final int QUEUED = 40;
    private static final String OWN = "500 failed";
    private static final String HEAD_END = "\r\n\r\n";
    private static final String ID_HEADER = "X-Request-Id: ";

    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final Vertx vertx = Vertx.vertx();
    private final DecisionLoop loop = new DecisionLoop(((VertxInternal) vertx).createEventLoopContext());
    private final HttpTargetClient client = new HttpTargetClient(
            vertx, loop.timer(), new TargetTimeouts(PATIENCE, PATIENCE, PATIENCE, PATIENCE, PATIENCE), registry);

    /** How a request may be sent. */
    private enum Route {
        REPEATABLE(true, false),
        ONCE(false, false),
        REPEATABLE_STREAM(true, true),
        STREAM_ONCE(false, true);

        private final boolean repeatable;
        private final boolean streaming;

        Route(final boolean repeatable, final boolean streaming) {
            this.repeatable = repeatable;
            this.streaming = streaming;
        }

        private String success(final String idHeader) {
            final String head = "HTTP/1.1 200 OK\r\nServer: runner\r\nVia: 1.1 a\r\n" + idHeader;
            return streaming
                    ? head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
                    : head + "Content-Length: 4\r\n\r\nmine";
        }

        private RelayRequest request(final String id) {
            return RelayRequest.newBuilder()
                    .setRequestId(id)
                    .setTrafficClass("URGENT")
                    .setHttpMethod("POST")
                    .setPath("/v1/completions")
                    .setIdempotent(repeatable)
                    .setStreaming(streaming)
                    .setBody(ByteString.copyFromUtf8("{}"))
                    .build();
        }
    }

    /** Which ids the two responses have. */
    private enum Ids {
        OTHER("r2"),
        SAME("r1"),
        NONE("r2");

        private final String second;

        Ids(final String second) {
            this.second = second;
        }

        private String header(final String id) {
            return this == NONE ? "" : ID_HEADER + id + "\r\n";
        }
    }

    @AfterEach
    void close() {
        vertx.close().await();
    }

    // Guards against MIXED: a success of an earlier response, or its status, where the target has answered with a
    // failure, or a request that is lost though its response came.
    @ParameterizedTest
    @MethodSource("cases")
    void partOfACopyReachesNoOtherRequest(final Route route, final Place place, final Ids ids) throws Exception {
        final String success = route.success(ids.header("r1"));
        final String failure =
                "HTTP/1.1 500 Internal Server Error\r\n" + ids.header(ids.second) + "Content-Length: 6\r\n\r\nfailed";
        final List<String> faults = new ArrayList<>();
        for (int length = 1; length <= success.length(); length++) {
            final String second = secondResult(route, place, success, length, failure, ids);
            if (!OWN.equals(second)) {
                faults.add(length + ": " + second);
            }
        }
        assertEquals(List.of(), faults);
    }

    // Guards against MIXED: a head that the target broke off, read together with the response that it began anew.
    @ParameterizedTest
    @EnumSource
    void headThatWasBrokenOffIsNotReadWithTheNextOne(final Route route) {
        final String success = route.success(Ids.SAME.header("r1"));
        final String failure =
                "HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: r1\r\nContent-Length: 6\r\n\r\nfailed";
        final List<String> faults = new ArrayList<>();
        for (int length = 1; length <= success.indexOf(HEAD_END); length++) {
            final StutteringServer target = new StutteringServer(vertx, Place.BEHIND, response -> "");
            target.addResponse(success.substring(0, length) + failure);
            final String result = send(target, route.request("r1"));
            if (!result.startsWith("lost: ")) {
                faults.add(length + ": " + result);
            }
        }
        assertEquals(List.of(), faults);
    }

    // Guards against a connection that carries a second request since the pool was full when that came.
    @Test
    void requestThatWaitsForAConnectionGetsOneOfItsOwn() throws Exception {
        final Queue<NetSocket> waiting = new ConcurrentLinkedQueue<>();
        final Set<NetSocket> connections = ConcurrentHashMap.newKeySet();
        final CountDownLatch poolFull = new CountDownLatch(HttpTargetClient.MAX_REQUESTS_PER_TARGET);
        final RawServer server = new RawServer(vertx, (socket, request) -> {
            connections.add(socket);
            waiting.add(socket);
            poolFull.countDown();
        });
        final TestSubscriber<RelayEvent> first = sendAll(server, HttpTargetClient.MAX_REQUESTS_PER_TARGET);
        assertTrue(poolFull.await(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS));
        final TestSubscriber<RelayEvent> queued = sendAll(server, QUEUED);
        vertx.setPeriodic(1, ignored -> {
            while (!waiting.isEmpty()) {
                waiting.remove().write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine");
            }
        });
        assertTrue(first.await(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS));
        assertTrue(queued.await(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS));
        queued.assertValueCount(QUEUED).assertComplete();
        assertEquals(HttpTargetClient.MAX_REQUESTS_PER_TARGET + QUEUED, connections.size());
    }

    /** Sends requests at the same time and returns the ends of their responses. */
    private TestSubscriber<RelayEvent> sendAll(final RawServer server, final int requests) {
        return Flowable.range(0, requests)
                .flatMap(
                        number -> client.send(
                                        target(server.port()), new Epoch(7), Route.REPEATABLE.request("r" + number))
                                .filter(RelayEvent::hasEnd),
                        requests)
                .subscribeOn(loop.timer().scheduler())
                .test();
    }

    private static Stream<Arguments> cases() {
        return Stream.of(Route.values()).flatMap(route -> Stream.of(Place.values())
                .flatMap(place -> Stream.of(Ids.values()).map(ids -> Arguments.of(route, place, ids))));
    }

    private String secondResult(
            final Route route,
            final Place place,
            final String success,
            final int length,
            final String failure,
            final Ids ids)
            throws Exception {
        final StutteringServer target = new StutteringServer(
                vertx, place, response -> response.equals(success) ? success.substring(0, length) : "");
        target.addResponse(success);
        assertTrue(send(target, route.request("r1")).startsWith("200 "));
        target.copySent().get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        target.addResponse(failure);
        final String result = send(target, route.request(ids.second));
        return target.connections() == 2 ? result : result + " on a connection in use again";
    }

    /** Sends a request and returns the status and body of the response, or how the request failed. */
    private String send(final StutteringServer target, final RelayRequest request) {
        final List<RelayEvent> events = new CopyOnWriteArrayList<>();
        return client.send(target(target.port()), new Epoch(7), request)
                .subscribeOn(loop.timer().scheduler())
                .unsubscribeOn(loop.timer().scheduler())
                .doOnNext(events::add)
                .ignoreElements()
                .timeout(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS)
                .toSingle(() -> text(events))
                .onErrorReturn(
                        error -> (events.isEmpty() ? "lost: " : "lost after " + text(events)) + error.getMessage())
                .blockingGet();
    }

    private static String text(final List<RelayEvent> events) {
        final StringBuilder text = new StringBuilder();
        for (final RelayEvent event : events) {
            if (event.hasHead()) {
                text.append(event.getHead().getStatus()).append(' ');
            } else if (event.hasChunk()) {
                text.append(event.getChunk().getData().toStringUtf8());
            }
        }
        return text.toString();
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
