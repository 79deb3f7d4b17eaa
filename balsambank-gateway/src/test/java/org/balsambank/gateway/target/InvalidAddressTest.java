package org.balsambank.gateway.target;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.serving.request.AttemptEnd;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests requests and calls to ports that do not exist. Uses a real event loop. */
final class InvalidAddressTest {
    private static final int TIMEOUT_SECONDS = 10;
    private static final int NO_LIMIT = 0;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void close() {
        group.shutdownGracefully();
    }

    // Guards against a request that waits for its deadline because the attempt to send it has thrown an exception.
    @ParameterizedTest
    @ValueSource(ints = {-1, 65_536, Integer.MAX_VALUE})
    void requestIsNotSent(final int port) throws Exception {
        final TargetConnectionPool pool =
                new TargetConnectionPool("127.0.0.1", port, group, new TestDialect(), TestFaults.none());
        for (int i = 0; i < 2; i++) {
            final RecordingListener listener = new RecordingListener();
            group.execute(() -> pool.start(TestAttempts.of("r1", listener), NO_LIMIT));
            assertTrue(listener.hasEnded.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "no end");
            assertEquals(List.of(AttemptEnd.NOT_SENT), listener.ends);
        }
    }

    // Guards against an order that counts as one that the target may have received.
    @ParameterizedTest
    @ValueSource(ints = {-1, 65_536, Integer.MAX_VALUE})
    void callIsNotSent(final int port) {
        final PooledHttpClient client = new PooledHttpClient(group, DecisionLog.NONE, new SimpleMeterRegistry());
        final PooledHttpClient.Request request =
                new PooledHttpClient.Request("127.0.0.1", port, "GET", "/report", "", "", "", ConnectionReuse.NONE);
        client.send(request, Duration.ofSeconds(TIMEOUT_SECONDS))
                .test()
                .awaitDone(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .assertError(PooledHttpClient.NotSentException.class);
    }
}
