package org.balsambank.gateway.target;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.balsambank.core.serving.request.AttemptEnd;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests that a request whose response is read as the body of a late copy ends at once. Uses real sockets.
 *
 * <p>The target sends a copy that ends early, then the response to the next request on the connection.
 */
final class ShortCopyTest {
    private static final int TIMEOUT_SECONDS = 10;
    private static final int NO_LIMIT = 0;
    private static final int BODY_LENGTH = 400;
    private static final int MANY = 1_000;
    private static final String BODY = "x".repeat(BODY_LENGTH);
    private static final String HEAD = "HTTP/1.1 200 OK\r\nId: r1\r\n";
    private static final String SUCCESS = HEAD + "Content-Length: " + BODY_LENGTH + "\r\n\r\n" + BODY;
    private static final String FAILURE =
            "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\nId: r2\r\n\r\nfailed";
    private static final String REJECTION = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nId: r2\r\n\r\n";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private LateCopyTarget target;
    private TargetConnectionPool pool;

    @AfterEach
    void close() throws IOException {
        target.close();
        group.shutdownGracefully();
    }

    // Guards against a request that waits for its deadline: its response is read as the rest of a copy's body.
    @ParameterizedTest
    @MethodSource("lengths")
    void requestIsLostAtOnceIfACopyWithALengthEndsInItsBody(final int length) throws Exception {
        assertLost(SUCCESS.substring(0, length), FAILURE);
    }

    private static Stream<Integer> lengths() {
        final int headLength = SUCCESS.length() - BODY_LENGTH;
        return Stream.of(0, 1, BODY_LENGTH - FAILURE.length(), BODY_LENGTH - FAILURE.length() + 8)
                .map(bytes -> headLength + bytes);
    }

    // Guards against the same with what is left of the response, which a decoder skips or takes for a head.
    @ParameterizedTest
    @MethodSource("endings")
    void requestIsLostAtOnceIfTheBodyOfACopyEndsInItsResponse(final int length) throws Exception {
        assertLost(SUCCESS.substring(0, SUCCESS.length() - REJECTION.length() + length), REJECTION);
    }

    private static Stream<Integer> endings() {
        return IntStream.rangeClosed(0, 5).boxed();
    }

    @Test
    void requestIsLostAtOnceIfACopyHasNoLength() throws Exception {
        assertLost(HEAD + "\r\n" + BODY, FAILURE);
    }

    @Test
    void requestIsLostAtOnceIfACopyEndsInAChunk() throws Exception {
        assertLost(HEAD + "Transfer-Encoding: chunked\r\n\r\n190\r\n" + BODY.substring(0, 1), FAILURE);
    }

    @Test
    void requestIsLostAtOnceIfACopyEndsInTheSizeOfAChunk() throws Exception {
        assertLost(HEAD + "Transfer-Encoding: chunked\r\n\r\n190\r", FAILURE);
    }

    @ParameterizedTest
    @MethodSource("lastChunks")
    void requestIsLostAtOnceIfACopyEndsBeforeTheEndOfItsLastChunk(final String lastChunk) throws Exception {
        assertLost(HEAD + "Transfer-Encoding: chunked\r\n\r\n" + lastChunk, REJECTION);
    }

    private static Stream<String> lastChunks() {
        return Stream.of("0", "0\r", "0\r\n", "0\r\n\r");
    }

    // Guards against the same behind a switch to another protocol, after which no response is decoded.
    @Test
    void requestIsLostAtOnceIfTheProtocolIsSwitched() throws Exception {
        assertLost("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n", FAILURE);
    }

    // Guards against a target that sends heads without end, each with a line in the log, until the deadline.
    @ParameterizedTest
    @ValueSource(strings = {HEAD + "Content-Length: 0\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"})
    void requestIsLostAtOnceIfOtherHeadsComeWithoutEnd(final String head) throws Exception {
        assertLost(head.repeat(MANY), "");
    }

    // Guards against sound responses that are lost since a copy before them names the request.
    @Test
    void requestIsAnsweredIfACopyIsWholeAndNamesIt() throws Exception {
        final String copy = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 7\r\n\r\nr2 r2r2";
        start(copy, FAILURE);
        final RecordingListener second = exchange("r2");
        assertEquals(List.of(AttemptEnd.COMPLETE), second.ends);
        assertEquals("failed", second.body.toString());
    }

    private void assertLost(final String copy, final String response) throws Exception {
        start(copy, response);
        assertEquals(List.of(AttemptEnd.LOST), exchange("r2").ends);
    }

    /** Lets the target answer a request and get ready to answer another one, with a copy before it. */
    private void start(final String copy, final String response) throws Exception {
        target = new LateCopyTarget(ignored -> copy);
        pool = new TargetConnectionPool("127.0.0.1", target.port(), group, new TestDialect(), TestFaults.none());
        target.addResponse(SUCCESS);
        target.addResponse(response);
        assertEquals(List.of(AttemptEnd.COMPLETE), exchange("r1").ends);
    }

    /** Sends a request and returns what came back. */
    private RecordingListener exchange(final String id) throws InterruptedException {
        final RecordingListener listener = new RecordingListener();
        final TargetAttempt attempt = TestAttempts.of(id, listener);
        group.execute(() -> pool.start(attempt, NO_LIMIT));
        assertTrue(listener.hasEnded.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "no end");
        return listener;
    }
}
