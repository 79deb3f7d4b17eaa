package org.balsambank.gateway.target;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.balsambank.core.serving.request.AttemptEnd;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests requests to a target that closes a new connection before a request is sent on it. Uses real sockets. */
final class EarlyCloseTest {
    private static final int TIMEOUT_SECONDS = 10;
    private static final int NO_LIMIT = 0;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void close() {
        group.shutdownGracefully();
    }

    // Guards against a request that is sent on a connection whose end was read, and waits there for its deadline.
    @Test
    void requestIsNotSentOnAConnectionThatItsTargetHasClosed() throws Exception {
        final RecordingListener listener = new RecordingListener();
        final CountDownLatch closed = new CountDownLatch(1);
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            final TargetConnectionPool pool = new TargetConnectionPool(
                    "127.0.0.1", server.getLocalPort(), group, new TestDialect(), TestFaults.none());
            group.execute(() -> {
                pool.start(attempt(listener), NO_LIMIT);
                // Runs behind the begin of the connection, so the loop learns that it is open after its close.
                group.execute(() -> awaitOnLoop(closed));
            });
            acceptAndClose(server);
            closed.countDown();
            assertTrue(listener.hasEnded.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "no end");
        }
        assertEquals(List.of(AttemptEnd.NOT_SENT), listener.ends);
    }

    private static void acceptAndClose(final ServerSocket server) throws IOException {
        server.accept().close();
    }

    private static void awaitOnLoop(final CountDownLatch latch) {
        try {
            assertTrue(latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static TargetAttempt attempt(final RecordingListener listener) {
        return TestAttempts.of("r1", listener);
    }
}
