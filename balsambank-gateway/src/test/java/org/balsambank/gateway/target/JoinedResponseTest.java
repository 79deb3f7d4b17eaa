package org.balsambank.gateway.target;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.balsambank.core.serving.request.AttemptEnd;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests that a part of a late copy is never read together with the response that follows it. Uses real sockets.
 *
 * <p>The target sends the first bytes of the copy of a success, then the failure with which it answers the next request
 * on the connection.
 */
final class JoinedResponseTest {
    private static final int TIMEOUT_SECONDS = 10;
    private static final int NO_LIMIT = 0;
    /** The most that Netty reads at first from a new connection. */
    private static final int FIRST_READ_BYTES = 2_048;
    /** How much of a copy, without its id, ends a body. */
    private static final int COPIED_BYTES = 20;

    private static final String SUCCESS =
            "HTTP/1.1 200 OK\r\nServer: runner\r\nVia: 1.1 a\r\nId: r1\r\nContent-Length: 4\r\n\r\nmine";
    private static final String FAILURE =
            "HTTP/1.1 500 Internal Server Error\r\nId: r2\r\nContent-Length: 6\r\n\r\nfailed";
    private static final String LONG_BODY = "0123456789".repeat(20);
    private static final String LONG_SUCCESS = "HTTP/1.1 200 OK\r\nServer: runner\r\nId: r1\r\nContent-Length: "
            + LONG_BODY.length() + "\r\n\r\n" + LONG_BODY;
    private static final String CHUNKED_SUCCESS =
            "HTTP/1.1 200 OK\r\nDate: x\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + ("64\r\n" + LONG_BODY.substring(0, 100) + "\r\n").repeat(2)
                    + "0\r\n\r\n";
    private static final String OTHER_SUCCESS = LONG_SUCCESS.replace("Id: r1", "Id: r0");

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private LateCopyTarget target;
    private TargetConnectionPool pool;

    private void listen(final UnaryOperator<String> copy) throws IOException {
        target = new LateCopyTarget(copy);
        pool = new TargetConnectionPool("127.0.0.1", target.port(), group, new TestDialect(), TestFaults.none());
    }

    @AfterEach
    void close() throws IOException {
        target.close();
        group.shutdownGracefully();
    }

    // Guards against MIXED: a success with the status line of the copy and the id and body of a failure.
    @ParameterizedTest
    @MethodSource("parts")
    void partOfACopyBeforeAResponseGivesItNoOtherStatus(final int length) throws Exception {
        listen(response -> response.substring(0, length));
        target.addResponse(SUCCESS);
        target.addResponse(FAILURE);
        assertEquals(200, exchange("r1").status);
        assertOwnOrLost(exchange("r2"));
    }

    // Guards against MIXED: a part of a copy that waits in an idle connection until the next response completes it.
    @ParameterizedTest
    @MethodSource("parts")
    void partOfACopyOnAnIdleConnectionLosesNoRequest(final int length) throws Exception {
        listen(response -> "");
        target.addResponse(SUCCESS + SUCCESS.substring(0, length));
        target.addResponse(FAILURE);
        assertEquals(200, exchange("r1").status);
        final RecordingListener second = exchange("r2");
        assertEquals(List.of(AttemptEnd.COMPLETE), second.ends);
        assertEquals(500, second.status);
        assertEquals("failed", second.body.toString());
        assertEquals(2, target.connections());
    }

    // Guards against MIXED: a body whose end is the beginning of a copy of its own response.
    @ParameterizedTest
    @MethodSource("partsOfLong")
    void partOfAResponseBeforeItsCopyIsNotFilledUp(final int length) throws Exception {
        listen(response -> "");
        target.addResponse(LONG_SUCCESS.substring(0, length) + LONG_SUCCESS);
        assertWholeOrBroken(exchange("r1"));
    }

    // Guards against MIXED: a body whose end is the beginning of a copy of another response.
    @ParameterizedTest
    @MethodSource("partsOfLong")
    void partOfAResponseBeforeACopyOfAnotherIsNotFilledUp(final int length) throws Exception {
        listen(response -> "");
        target.addResponse(OTHER_SUCCESS);
        target.addResponse(LONG_SUCCESS.substring(0, length) + OTHER_SUCCESS);
        assertEquals(200, exchange("r0").status);
        assertWholeOrBroken(exchange("r1"));
    }

    // Guards against MIXED: chunks of a response that go on with the bytes of its copy.
    @ParameterizedTest
    @MethodSource("partsOfChunked")
    void partOfAChunkedResponseBeforeItsCopyIsNotFilledUp(final int length) throws Exception {
        listen(response -> "");
        target.addResponse(CHUNKED_SUCCESS.substring(0, length) + CHUNKED_SUCCESS);
        assertWholeOrBroken(exchange("r1"));
    }

    // Guards against MIXED: a copy that begins in the last bytes of a body and whose id is read later than they are.
    @ParameterizedTest
    @MethodSource("lengthsOfARead")
    void partOfAResponseThatIsReadBeforeTheRestOfItsCopyIsNotFilledUp(final int length) throws Exception {
        final String head = "HTTP/1.1 200 OK\r\nServer: runner\r\nId: r1\r\nContent-Length: 1900\r\n";
        final int padding = length - head.length() - "Via: \r\n\r\n".length() - 1_900;
        final String response = head + "Via: " + "a".repeat(padding) + "\r\n\r\n" + "x".repeat(1_900);
        listen(ignored -> "");
        target.addResponse(response.substring(0, length - COPIED_BYTES) + response);
        assertFalse(exchange("r1").last);
    }

    @Test
    void bodyThatEndsLikeAResponseIsWholeIfItsTargetCloses() throws Exception {
        listen(response -> "");
        target.addResponse("HTTP/1.1 200 OK\r\nId: r1\r\nConnection: close\r\n\r\nan H");
        target.closeAfterResponses();
        final RecordingListener response = exchange("r1");
        assertEquals(List.of(AttemptEnd.COMPLETE), response.ends);
        assertEquals("an H", response.body.toString());
    }

    // Guards against MIXED: the same where the body mentions a version before the copy, and nothing follows.
    @Test
    void bodyThatMentionsAVersionIsNotFilledUp() throws Exception {
        final String body = "HTTP/1.1 is old.\r\nHTTP/1.1 200 OK\r\nId: r1\r\nContent-Le";
        listen(response -> "");
        target.addResponse("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        assertFalse(exchange("r1").last);
    }

    // Guards against sound responses that are lost since their body quotes a response.
    @Test
    void bodyThatQuotesAResponseIsWhole() throws Exception {
        final String quote = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4\r\n\r\nHTTP/1.1 404 ";
        listen(response -> "");
        target.addResponse("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: " + quote.length() + "\r\n\r\n" + quote);
        final RecordingListener response = exchange("r1");
        assertEquals(List.of(AttemptEnd.COMPLETE), response.ends);
        assertEquals(quote, response.body.toString());
    }

    private static Stream<Integer> partsOfChunked() {
        return IntStream.range(1, CHUNKED_SUCCESS.length()).boxed();
    }

    private static Stream<Integer> lengthsOfARead() {
        return IntStream.rangeClosed(FIRST_READ_BYTES - 3, FIRST_READ_BYTES + 1).boxed();
    }

    private static Stream<Integer> partsOfLong() {
        return IntStream.range(1, LONG_SUCCESS.length()).boxed();
    }

    private static void assertWholeOrBroken(final RecordingListener response) {
        if (response.ends.equals(List.of(AttemptEnd.COMPLETE))) {
            assertEquals(LONG_BODY, response.body.toString());
        } else {
            assertFalse(response.last);
        }
    }

    private static Stream<Integer> parts() {
        return IntStream.range(1, SUCCESS.length()).boxed();
    }

    private static void assertOwnOrLost(final RecordingListener response) {
        if (response.ends.equals(List.of(AttemptEnd.COMPLETE))) {
            assertEquals(500, response.status);
            assertEquals("failed", response.body.toString());
        } else {
            assertEquals(List.of(AttemptEnd.LOST), response.ends);
        }
    }

    /** Sends a request and returns what came back. */
    private RecordingListener exchange(final String id) throws InterruptedException {
        final RecordingListener listener = new RecordingListener();
        final TargetAttempt attempt = TestAttempts.of(id, listener);
        group.execute(() -> pool.start(attempt, NO_LIMIT));
        assertTrue(listener.hasEnded.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        return listener;
    }
}
