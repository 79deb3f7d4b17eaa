package org.balsambank.gateway.target;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.reactivex.rxjava3.observers.TestObserver;
import org.balsambank.core.log.DecisionLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests that a second copy of the response to an order, a report or a call to the store never answers another call.
 * Uses real sockets.
 *
 * <p>The peer accepts the first call and rejects the second one.
 */
final class LateCallCopyTest {
    private static final int TIMEOUT_SECONDS = 10;
    private static final int ACCEPTED = 202;
    private static final int REJECTED = 409;
    private static final String ACCEPTANCE =
            "HTTP/1.1 202 Accepted\r\nServer: runner\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";
    private static final int HEAD_LENGTH = ACCEPTANCE.length() - 2;
    private static final String REJECTION = "HTTP/1.1 409 Conflict\r\nContent-Length: 4\r\n\r\nbusy";

    private static final ConnectionReuse REPEATED = ConnectionReuse.byRepetitionsOf("load a", ACCEPTED);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final PooledHttpClient client = new PooledHttpClient(group, DecisionLog.NONE, new SimpleMeterRegistry());
    private LateCopyTarget peer;

    private void listen(final UnaryOperator<String> copy) throws IOException {
        peer = new LateCopyTarget(copy);
    }

    @AfterEach
    void close() throws IOException {
        peer.close();
        group.shutdownGracefully();
    }

    // Guards against an order that is taken for accepted since a part of another head came before its rejection.
    @ParameterizedTest
    @MethodSource("partsOfTheHead")
    void partOfACopyBeforeAResponseGivesItNoOtherStatus(final int length) throws Exception {
        listen(response -> response.substring(0, length));
        peer.addResponse(ACCEPTANCE);
        peer.addResponse(REJECTION);
        assertEquals(ACCEPTED, call().values().get(0).status());
        assertOwnOrLost(call());
    }

    // Guards against an order that is taken for accepted since a part of a copy came in one read with a response.
    @ParameterizedTest
    @MethodSource("parts")
    void partOfACopyBehindAResponseLosesNoCall(final int length) throws Exception {
        listen(response -> "");
        peer.addResponse(ACCEPTANCE + ACCEPTANCE.substring(0, length));
        peer.addResponse(REJECTION);
        assertEquals(ACCEPTED, call().values().get(0).status());
        assertOwn(call());
        assertEquals(2, peer.connections());
    }

    // Guards against an order that is taken for accepted since a part of a copy waited in an idle connection.
    @ParameterizedTest
    @MethodSource("parts")
    void partOfACopyOnAnIdleConnectionLosesNoCall(final int length) throws Exception {
        listen(response -> "");
        peer.addResponse(ACCEPTANCE);
        peer.addResponse(REJECTION);
        assertEquals(ACCEPTED, call().values().get(0).status());
        peer.send(ACCEPTANCE.substring(0, length));
        SmallReceiver.awaitPoll(group);
        assertOwn(call());
        assertEquals(2, peer.connections());
    }

    // Guards against an order that is taken for accepted since a whole copy waited in an idle connection.
    @Test
    void copyOnAnIdleConnectionLosesNoCall() throws Exception {
        listen(response -> "");
        peer.addResponse(ACCEPTANCE);
        peer.addResponse(REJECTION);
        assertEquals(ACCEPTED, call().values().get(0).status());
        peer.send(ACCEPTANCE);
        SmallReceiver.awaitPoll(group);
        assertOwn(call());
        assertEquals(2, peer.connections());
    }

    // Guards against an order that is taken for accepted since a whole copy came in one read with a response.
    @Test
    void copyBehindAResponseLosesNoCall() throws Exception {
        listen(response -> "");
        peer.addResponse(ACCEPTANCE + ACCEPTANCE);
        peer.addResponse(REJECTION);
        assertEquals(ACCEPTED, call().values().get(0).status());
        assertOwn(call());
        assertEquals(2, peer.connections());
    }

    // Guards against an order that is taken for accepted since the copy of another call's response came before its own.
    @ParameterizedTest
    @MethodSource("wholeHeads")
    void copyBeforeAResponseAnswersNoOtherCall(final int length) throws Exception {
        listen(response -> response.substring(0, Math.min(length, response.length())));
        peer.addResponse(ACCEPTANCE);
        peer.addResponse(REJECTION);
        assertEquals(ACCEPTED, call(REPEATED).values().get(0).status());
        assertOwn(call(ConnectionReuse.byRepetitionsOf("load b", ACCEPTED)));
    }

    @Test
    void connectionIsNotKeptAfterAnotherStatus() throws Exception {
        listen(response -> response);
        peer.addResponse(REJECTION);
        peer.addResponse(ACCEPTANCE);
        assertOwn(call(REPEATED));
        assertEquals(ACCEPTED, call(REPEATED).values().get(0).status());
        assertEquals(2, peer.connections());
    }

    // Guards against a copy that is believed for longer than until the same call is made again.
    @Test
    void copyAnswersOneRepetitionAtMost() throws Exception {
        listen(response -> response);
        peer.addResponse(ACCEPTANCE);
        peer.addResponse(REJECTION);
        peer.addResponse(REJECTION);
        assertEquals(ACCEPTED, call(REPEATED).values().get(0).status());
        assertEquals(ACCEPTED, call(REPEATED).values().get(0).status());
        assertOwn(call(REPEATED));
        assertEquals(2, peer.connections());
    }

    private static Stream<Integer> wholeHeads() {
        return IntStream.rangeClosed(HEAD_LENGTH, ACCEPTANCE.length()).boxed();
    }

    private static Stream<Integer> partsOfTheHead() {
        return IntStream.range(1, HEAD_LENGTH).boxed();
    }

    private static Stream<Integer> parts() {
        return IntStream.range(1, ACCEPTANCE.length()).boxed();
    }

    private static void assertOwn(final TestObserver<PooledHttpClient.Response> response) {
        response.assertNoErrors();
        assertEquals(REJECTED, response.values().get(0).status());
        assertEquals("busy", new String(response.values().get(0).body(), StandardCharsets.US_ASCII));
    }

    private static void assertOwnOrLost(final TestObserver<PooledHttpClient.Response> response) {
        if (!response.values().isEmpty()) {
            assertOwn(response);
        } else {
            response.assertError(IOException.class);
        }
    }

    private TestObserver<PooledHttpClient.Response> call() throws InterruptedException {
        return call(REPEATED);
    }

    /** Makes a call and returns what came back. */
    private TestObserver<PooledHttpClient.Response> call(final ConnectionReuse reuse) throws InterruptedException {
        final TestObserver<PooledHttpClient.Response> observer = new TestObserver<>();
        final PooledHttpClient.Request request =
                new PooledHttpClient.Request("127.0.0.1", peer.port(), "POST", "/order", "", "", "", reuse);
        group.execute(
                () -> client.send(request, Duration.ofSeconds(TIMEOUT_SECONDS)).subscribe(observer));
        assertTrue(observer.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        return observer;
    }
}
