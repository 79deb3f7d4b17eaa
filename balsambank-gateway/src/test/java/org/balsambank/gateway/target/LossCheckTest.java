package org.balsambank.gateway.target;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.balsambank.core.serving.poison.LossFinding;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests what a lost response shows of the process of its target, over real sockets. Confined to one thread. */
final class LossCheckTest {
    private static final int TIMEOUT_SECONDS = 10;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<RecordingListener> listeners = new ArrayList<>();
    private BreakableTarget target;
    private TargetConnectionPool pool;

    @BeforeEach
    void listen() throws IOException {
        target = new BreakableTarget();
        pool = new TargetConnectionPool("127.0.0.1", target.port(), group, new TestDialect(), TestFaults.none());
    }

    @AfterEach
    void close() throws IOException {
        target.close();
        group.shutdownGracefully();
    }

    @Test
    void bytesThatAreNoResponseShowAProcessThatLives() throws Exception {
        target.write("no response at all\r\n\r\n");
        assertEquals(LossFinding.MALFORMED, findingOf(send()));
    }

    @Test
    void truncatedResponseBesideAnOpenConnectionShowsAProcessThatLives() throws Exception {
        keepOneConnectionOpen();
        target.writeAndClose("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 9\r\n\r\nhalf");
        assertEquals(LossFinding.CONNECTIONS_OPEN, findingOf(send()));
    }

    // Guards against a crash that is taken for bytes that are no response, as it ends a response inside its head.
    @Test
    void headThatIsCutOffIsNotMalformed() throws Exception {
        keepOneConnectionOpen();
        target.writeAndClose("HTTP/1.1 200 OK\r\nId: r");
        assertEquals(LossFinding.CONNECTIONS_OPEN, findingOf(send()));
    }

    @Test
    void resetOfTheOnlyConnectionShowsAProcessThatLivesIfItAcceptsANewOne() throws Exception {
        target.reset();
        assertEquals(LossFinding.CONNECTION_ACCEPTED, findingOf(send()));
    }

    @Test
    void endOfAllConnectionsAndRefusalOfANewOneShowACrash() throws Exception {
        keepOneConnectionOpen();
        target.crash();
        assertEquals(LossFinding.CONNECTION_REFUSED, findingOf(send()));
    }

    @Test
    void endOfTheOnlyConnectionAndRefusalOfANewOneShowACrash() throws Exception {
        target.crash();
        assertEquals(LossFinding.CONNECTION_REFUSED, findingOf(send()));
    }

    /** Sends a request whose response has only begun, so that its connection stays open and in use. */
    private void keepOneConnectionOpen() throws Exception {
        target.write("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 9\r\n\r\nhalf");
        assertTrue(send().chunkSeen.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    private RecordingListener send() {
        final RecordingListener listener = new RecordingListener();
        listener.checksLosses = listeners.add(listener);
        final TargetAttempt attempt = TestAttempts.of("r1", listener);
        group.execute(() -> pool.start(attempt, 0));
        return listener;
    }

    private static LossFinding findingOf(final RecordingListener listener) throws Exception {
        return listener.finding.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
