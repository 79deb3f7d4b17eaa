package org.balsambank.gateway.target;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.observers.TestObserver;
import org.balsambank.core.log.DecisionLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests what a peer gets of a call that was given up, over real sockets. Confined to one thread. */
final class PooledHttpClientTest {
    private static final String BODY = "x".repeat(SmallReceiver.HELD_UP_BYTES);
    private static final int TIMEOUT_SECONDS = 10;
    private static final Duration SHORT = Duration.ofMillis(50);
    private static final Duration LONG = Duration.ofSeconds(30);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final PooledHttpClient client = new PooledHttpClient(group, DecisionLog.NONE, new SimpleMeterRegistry());
    private SmallReceiver peer;

    @BeforeEach
    void listen() throws IOException {
        peer = new SmallReceiver();
    }

    @AfterEach
    void close() throws IOException {
        peer.close();
        group.shutdownGracefully();
    }

    // Guards against a command that was given up, and is delivered and carried out when its link is back.
    @Test
    void restOfTimedOutCallIsNotDeliveredLater() throws Exception {
        final TestObserver<PooledHttpClient.Response> response = send(SHORT);
        peer.acceptFirstByte();
        response.await().assertError(IOException.class);
        assertFalse(peer.receiveRest(group).contains(BODY), "the peer got the whole call");
    }

    // Guards against a command that was cancelled, and is delivered and carried out when its link is back.
    @Test
    void restOfCancelledCallIsNotDeliveredLater() throws Exception {
        final Disposable response = send(LONG);
        peer.acceptFirstByte();
        response.dispose();
        assertFalse(peer.receiveRest(group).contains(BODY), "the peer got the whole call");
    }

    // Guards against a call that never ends because its peer has closed the connection.
    @Test
    void callFailsAtOnceIfThePeerClosesTheConnection() throws Exception {
        final TestObserver<PooledHttpClient.Response> response = send(LONG);
        peer.acceptFirstByte();
        peer.close();
        assertTrue(response.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        response.assertError(IOException.class);
    }

    private TestObserver<PooledHttpClient.Response> send(final Duration timeout) {
        final TestObserver<PooledHttpClient.Response> observer = new TestObserver<>();
        final PooledHttpClient.Request request = new PooledHttpClient.Request(
                "127.0.0.1", peer.port(), "POST", "/order", "", "", BODY, ConnectionReuse.NONE);
        group.execute(() -> client.send(request, timeout).subscribe(observer));
        return observer;
    }
}
