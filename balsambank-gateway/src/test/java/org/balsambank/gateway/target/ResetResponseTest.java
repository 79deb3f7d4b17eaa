package org.balsambank.gateway.target;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.reactivex.rxjava3.observers.TestObserver;
import org.balsambank.core.id.RequestId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.serving.request.AttemptEnd;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests responses without a length that end while a part of the request is still unsent, over real sockets. Confined to
 * one thread.
 */
final class ResetResponseTest {
    private static final int TIMEOUT_SECONDS = 10;
    /** More than the socket buffers of both ends hold. */
    private static final int UNSENT_BYTES = 32_000_000;

    private static final String RESPONSE_WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\nId: r1\r\n\r\nbegin";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ByteBuf body = Unpooled.wrappedBuffer(new byte[UNSENT_BYTES]);
    private final RecordingListener listener = new RecordingListener();
    private SmallReceiver peer;

    @BeforeEach
    void listen() throws IOException {
        peer = new SmallReceiver();
    }

    @AfterEach
    void close() throws IOException {
        peer.close();
        group.shutdownGracefully();
        body.release();
    }

    // Guards against MIXED: a response that is reset on the way looks complete, as the reset shows in a failed write.
    @Test
    void responseThatIsResetWhileItsRequestIsUnsentIsBroken() throws Exception {
        startAttempt();
        peer.reset();
        assertTrue(listener.hasEnded.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(List.of(AttemptEnd.BROKEN), listener.ends);
        assertFalse(listener.last);
    }

    // Guards against a whole response that is taken for a broken one, as its target had not read the whole request.
    @Test
    void responseThatEndsWhileItsRequestIsUnsentIsComplete() throws Exception {
        startAttempt();
        peer.endOutput();
        assertTrue(listener.hasEnded.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(List.of(AttemptEnd.COMPLETE), listener.ends);
        assertEquals("begin", listener.body.toString());
    }

    // Guards against a call to the platform that takes the beginning of a reset response for all of it.
    @Test
    void callFailsIfItsResponseIsResetWhileTheCallIsUnsent() throws Exception {
        final TestObserver<PooledHttpClient.Response> response = startCall();
        peer.reset();
        assertTrue(response.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        response.assertError(IOException.class);
    }

    @Test
    void callReturnsAResponseThatEndsWithItsConnection() throws Exception {
        final TestObserver<PooledHttpClient.Response> response = startCall();
        peer.endOutput();
        assertTrue(response.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        response.assertValue(each -> "begin".equals(new String(each.body(), StandardCharsets.US_ASCII)));
    }

    private void startAttempt() throws Exception {
        final HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/p/x");
        final TargetConnectionPool pool =
                new TargetConnectionPool("127.0.0.1", peer.port(), group, new TestDialect(), TestFaults.none());
        final TargetAttempt attempt = new TargetAttempt(
                new TestDialect(), new RequestId("r1"), request, request.headers(), body, false, listener, listener);
        group.execute(() -> pool.start(attempt, 0));
        peer.acceptFirstByte();
        peer.respond(RESPONSE_WITHOUT_LENGTH);
        assertTrue(listener.chunkSeen.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    private TestObserver<PooledHttpClient.Response> startCall() throws Exception {
        final PooledHttpClient client = new PooledHttpClient(group, DecisionLog.NONE, new SimpleMeterRegistry());
        final TestObserver<PooledHttpClient.Response> observer = new TestObserver<>();
        final PooledHttpClient.Request request = new PooledHttpClient.Request(
                "127.0.0.1", peer.port(), "POST", "/order", "", "", "x".repeat(UNSENT_BYTES), ConnectionReuse.NONE);
        group.execute(
                () -> client.send(request, Duration.ofSeconds(TIMEOUT_SECONDS)).subscribe(observer));
        peer.acceptFirstByte();
        peer.respond(RESPONSE_WITHOUT_LENGTH);
        SmallReceiver.awaitPoll(group);
        return observer;
    }
}
