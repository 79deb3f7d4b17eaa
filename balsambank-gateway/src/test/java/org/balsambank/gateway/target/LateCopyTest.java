package org.balsambank.gateway.target;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.balsambank.core.serving.request.AttemptEnd;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that a late second copy of a response is never taken for the response to a request. Uses real sockets. */
final class LateCopyTest {
    private static final int TIMEOUT_SECONDS = 10;
    private static final int NO_LIMIT = 0;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private LateCopyTarget target;
    private TargetConnectionPool pool;

    @BeforeEach
    void listen() throws IOException {
        target = new LateCopyTarget(response -> response);
        pool = new TargetConnectionPool("127.0.0.1", target.port(), group, new TestDialect(), TestFaults.none());
    }

    @AfterEach
    void close() throws IOException {
        target.close();
        group.shutdownGracefully();
    }

    // Guards against TWICE: a copy of a rejection answers the same request, sent again, so that it is sent a third
    // time.
    @Test
    void requestThatIsSentAgainIsNotAnsweredByTheCopyOfItsRejection() throws Exception {
        target.addResponse(response("r1", "rejected"));
        target.addResponse(response("r1", "run"));
        assertEquals("rejected", exchange("r1", NO_LIMIT));
        assertEquals("run", exchange("r1", NO_LIMIT));
    }

    @Test
    void requestThatIsSentAgainIsNotAnsweredByACopyAfterOthers() throws Exception {
        target.addResponse(response("r1", "rejected"));
        target.addResponse(response("r1", "run"));
        target.addResponse(response("r1", "run again"));
        assertEquals("rejected", exchange("r1", NO_LIMIT));
        assertEquals("run", exchange("r1", NO_LIMIT));
        assertEquals("run again", exchange("r1", NO_LIMIT));
        assertEquals(3, target.connections());
    }

    // Guards against requests that are refused although the target could take them: the limit leaves no new connection.
    @Test
    void requestThatIsSentAgainReplacesItsConnectionAtTheLimit() throws Exception {
        target.addResponse(response("r1", "rejected"));
        target.addResponse(response("r1", "run"));
        assertEquals("rejected", exchange("r1", 1));
        assertEquals("run", exchange("r1", 1));
    }

    // Guards against TWICE: nothing tells which request a copy without an id belongs to.
    @Test
    void connectionWhoseResponseHasNoIdIsNotUsedAgain() throws Exception {
        target.addResponse("HTTP/1.1 503 X\r\nContent-Length: 8\r\n\r\nrejected");
        target.addResponse(response("r2", "run"));
        assertEquals("rejected", exchange("r1", NO_LIMIT));
        assertEquals("run", exchange("r2", NO_LIMIT));
        assertEquals(2, target.connections());
    }

    private static String response(final String id, final String body) {
        return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Sends a request and returns the body of its response. */
    private String exchange(final String id, final int maxConnections) throws InterruptedException {
        final RecordingListener listener = new RecordingListener();
        final TargetAttempt attempt = TestAttempts.of(id, listener);
        group.execute(() -> pool.start(attempt, maxConnections));
        assertTrue(listener.hasEnded.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(List.of(AttemptEnd.COMPLETE), listener.ends);
        return listener.body.toString();
    }
}
