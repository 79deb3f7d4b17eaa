package org.balsambank.gateway.target;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.balsambank.core.id.RequestId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests what a target gets of a cancelled attempt, over real sockets. Confined to one thread. */
final class CancelledAttemptTest {
    private static final int TIMEOUT_SECONDS = 10;
    private static final String BODY = "x".repeat(SmallReceiver.HELD_UP_BYTES);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ByteBuf body = Unpooled.copiedBuffer(BODY, StandardCharsets.US_ASCII);
    private final RecordingListener listener = new RecordingListener();
    private SmallReceiver target;
    private TargetConnectionPool pool;

    @BeforeEach
    void listen() throws IOException {
        target = new SmallReceiver();
        pool = new TargetConnectionPool("127.0.0.1", target.port(), group, new TestDialect(), TestFaults.none());
    }

    @AfterEach
    void close() throws IOException {
        target.close();
        group.shutdownGracefully();
        body.release();
    }

    // Guards against GONE: a request that its link held up is delivered after its caller has left, and runs.
    @Test
    void restOfCancelledRequestIsNotDeliveredLater() throws Exception {
        final TargetAttempt attempt = start();
        target.acceptFirstByte();
        group.submit(attempt::cancel).get();
        assertFalse(target.receiveRest(group).contains(BODY), "the target got the whole request");
        assertTrue(target.wasReset());
    }

    // Guards against GONE: a target goes on with a response because the reset of its connection was lost on the way.
    @Test
    void startedResponseIsEndedByACloseThatTheSystemRepeats() throws Exception {
        body.clear();
        final TargetAttempt attempt = start();
        target.acceptFirstByte();
        target.respond("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 9\r\n\r\nfirst");
        assertTrue(listener.chunkSeen.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        group.submit(attempt::cancel).get();
        target.receiveRest(group);
        assertFalse(target.wasReset());
    }

    private TargetAttempt start() {
        final HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/p/x");
        final TargetAttempt attempt = new TargetAttempt(
                new TestDialect(), new RequestId("r1"), request, request.headers(), body, false, listener, listener);
        group.execute(() -> pool.start(attempt, 0));
        return attempt;
    }
}
