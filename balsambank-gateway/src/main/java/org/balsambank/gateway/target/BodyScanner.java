package org.balsambank.gateway.target;

import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;

import io.netty.buffer.ByteBuf;
import org.balsambank.core.port.CopyScanner;

/**
 * Finds the beginning of another response in the bytes of a body.
 *
 * <p>Confined to the decision loop.
 */
final class BodyScanner {
    private final CopyScanner scanner;

    /**
     * Creates a scanner for a body of which nothing has arrived.
     *
     * @param carriedId whether a text may be the id of a request that the connection has carried
     */
    BodyScanner(final Predicate<String> carriedId) {
        scanner = new CopyScanner(carriedId);
    }

    /** Begins with another body. */
    void reset() {
        scanner.reset();
    }

    /**
     * Reads the next bytes of the body.
     *
     * @param bytes the bytes; neither read nor released
     * @return whether the body holds the beginning of another response
     */
    boolean append(final ByteBuf bytes) {
        if (!scanner.endsUndecided() && bytes.indexOf(bytes.readerIndex(), bytes.writerIndex(), (byte) 'H') < 0) {
            return false;
        }
        return scanner.append(bytes.toString(StandardCharsets.ISO_8859_1));
    }

    /**
     * Reads the bytes behind the end of the body.
     *
     * @param bytes the bytes; neither read nor released
     * @return whether another response may begin in the body and go on in these bytes
     */
    boolean appendBehindEnd(final ByteBuf bytes) {
        final int length = Math.min(bytes.readableBytes(), CopyScanner.MAX_HEAD_CHARS);
        return scanner.endsUndecided()
                && scanner.appendBehindEnd(bytes.toString(bytes.readerIndex(), length, StandardCharsets.ISO_8859_1));
    }

    /**
     * Returns whether the body so far ends with what may be the beginning of another response.
     *
     * @return true if only the bytes behind it can tell
     */
    boolean endsUndecided() {
        return scanner.endsUndecided();
    }
}
