package org.balsambank.gateway.target;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link BodyScanner}. */
final class BodyScannerTest {
    private static final String BODY =
            "HHTTP/1.HTTP/1.1 404 quotedHTTP/1.1 200 OK\r\nServer: a\r\nId: r1\r\nVia: b\r\n\r\n";
    private static final int MANY = 100_000;
    private static final int MANY_HEADS = 1_000;

    private final BodyScanner scanner = new BodyScanner("r1"::equals);

    @ParameterizedTest
    @MethodSource("splits")
    void copyIsFoundWhereverItsBytesAreSplit(final int split) {
        final boolean first = scanner.append(bytes(BODY.substring(0, split)));
        assertTrue(first || scanner.append(bytes(BODY.substring(split))));
    }

    @ParameterizedTest
    @MethodSource("splits")
    void copyThatBeginsInTheBodyIsFoundInWhatIsBehindIt(final int split) {
        final boolean begun = split > BODY.lastIndexOf("HTTP/1.1");
        final boolean found = scanner.append(bytes(BODY.substring(0, split)))
                || scanner.appendBehindEnd(bytes(BODY.substring(split)));
        assertEquals(begun, found);
    }

    @Test
    void copyBehindTheBodyIsNotInIt() {
        assertFalse(scanner.append(bytes("the last byte is an H")));
        assertFalse(scanner.appendBehindEnd(bytes("HTTP/1.1 200 OK\r\nId: r1\r\n\r\n")));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Id: r1\r\n\r\n",
                "GET / HTTP/1.1\r\nId: r1\r\n\r\n",
                "HTTP/1.1 200 OK\r\nId: r2\r\n\r\nId: r1\r\n\r\n",
                "HTTP/1.1 OK\r\nId: r1\r\n\r\n"
            })
    void textThatIsNoResponseOfThisConnectionIsPassed(final String body) {
        assertFalse(scanner.append(bytes(body)));
    }

    // Guards against memory and time that grow with the body.
    @Test
    void headWithoutAnEndIsGivenUp() {
        assertFalse(scanner.append(bytes("HTTP/1.1 200 OK\r\n" + "x".repeat(MANY))));
        assertFalse(scanner.append(bytes("\r\nId: r1\r\n\r\n")));
    }

    // Guards against time that grows with the square of the body or more, as it holds up all requests of the VM.
    @Test
    void lineIsReadOnceNoMatterHowManyStatusLinesAreBeforeIt() {
        final AtomicInteger read = new AtomicInteger();
        final BodyScanner counting = new BodyScanner(text -> read.incrementAndGet() < 0);
        assertFalse(counting.append(bytes("HTTP/1.1 200 OK\r\na: b\r\n".repeat(MANY_HEADS))));
        assertTrue(read.get() <= MANY_HEADS, read + " lines");
    }

    // Guards against the same where a body comes in many parts.
    @Test
    void lineIsReadOnceNoMatterHowManyPartsFollowIt() {
        final AtomicInteger read = new AtomicInteger();
        final BodyScanner counting = new BodyScanner(text -> read.incrementAndGet() < 0);
        assertFalse(counting.append(bytes("HTTP/1.1 200 OK\r\n")));
        for (int i = 0; i < MANY_HEADS; i++) {
            assertFalse(counting.append(bytes("a: b\r\n")));
        }
        assertTrue(read.get() <= MANY_HEADS, read + " lines");
    }

    // Guards against a copy that is not found since the body mentions a version before it.
    @Test
    void copyIsFoundBehindTheMentionOfAVersion() {
        assertTrue(scanner.append(bytes("HTTP/1.1 is old.\r\nHTTP/1.1 200 OK\r\nId: r1\r\nVia")));
    }

    // Guards against a sound response that is broken off since it mentions a version and a part of a copy is behind it.
    @Test
    void mentionOfAVersionIsNoBeginningOfACopy() {
        assertFalse(scanner.append(bytes("HTTP/1.1 is old.")));
        assertFalse(scanner.appendBehindEnd(bytes("HTTP/1.1 200 OK\r\nId: r1\r\nVia")));
    }

    private static Stream<Integer> splits() {
        return IntStream.rangeClosed(0, BODY.length()).boxed();
    }

    private static ByteBuf bytes(final String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }
}
