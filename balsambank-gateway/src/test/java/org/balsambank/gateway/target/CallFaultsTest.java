package org.balsambank.gateway.target;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.reactivex.rxjava3.observers.TestObserver;
import org.balsambank.core.log.DecisionLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that what is not the response to an order, a report or a store call is counted. Uses real sockets. */
final class CallFaultsTest {
    private static final int TIMEOUT_SECONDS = 10;
    private static final int ACCEPTED = 202;
    private static final String RESPONSE = "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final PooledHttpClient client = new PooledHttpClient(group, DecisionLog.NONE, registry);
    private LateCopyTarget peer;

    @BeforeEach
    void listen() throws IOException {
        peer = new LateCopyTarget(response -> "");
    }

    @AfterEach
    void close() throws IOException {
        peer.close();
        group.shutdownGracefully();
    }

    // Guards against copies that leave no trace, so that their cause can't be found.
    @Test
    void bytesOnAnIdleConnectionAreCountedOnce() throws Exception {
        peer.addResponse(RESPONSE);
        call();
        peer.send(RESPONSE + RESPONSE);
        SmallReceiver.awaitPoll(group);
        assertEquals(1, count("call_unsolicited"));
        assertEquals(0, count("call_malformed"));
    }

    // Guards against copies that leave no trace, so that their cause can't be found.
    @Test
    void bytesBehindAResponseAreCountedOnce() throws Exception {
        peer.addResponse(RESPONSE + RESPONSE);
        call();
        SmallReceiver.awaitPoll(group);
        assertEquals(1, count("call_unsolicited"));
    }

    @Test
    void headThatWasPutTogetherIsCountedOnce() throws Exception {
        peer.addResponse("HTTP/1.1 202 Acc" + RESPONSE);
        call();
        assertEquals(1, count("call_malformed"));
        assertEquals(0, count("call_unsolicited"));
    }

    @Test
    void soundResponseIsNotCounted() throws Exception {
        peer.addResponse(RESPONSE);
        call();
        SmallReceiver.awaitPoll(group);
        assertEquals(0, count("call_unsolicited") + count("call_malformed"));
    }

    private int count(final String kind) {
        return (int) registry.counter("balsambank.serving.response.faults", "kind", kind)
                .count();
    }

    private void call() throws InterruptedException {
        final TestObserver<PooledHttpClient.Response> observer = new TestObserver<>();
        final PooledHttpClient.Request request = new PooledHttpClient.Request(
                "127.0.0.1",
                peer.port(),
                "POST",
                "/order",
                "",
                "",
                "",
                ConnectionReuse.byRepetitionsOf("load", ACCEPTED));
        group.execute(
                () -> client.send(request, Duration.ofSeconds(TIMEOUT_SECONDS)).subscribe(observer));
        assertTrue(observer.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }
}
