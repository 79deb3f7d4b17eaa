package org.balsambank.gateway.target;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;

/**
 * Finds the beginning of another response inside a body.
 *
 * <p>A target may break a response off and go on with another one, a copy or the next response. A body with a length
 * then ends with bytes of that other one. What gives it away is a status line in the body, followed by headers of which
 * one holds the id of a request that the connection has carried. A body that only quotes a response holds no such id.
 *
 * <p>Invariant: holds at most {@value #MAX_HEAD_CHARS} characters beyond what is appended at a time. Confined to the
 * decision loop.
 */
final class CopyScanner {
    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [0-9]{3}[^\r\n]*\r\n");
    private static final String LINE_END = "\r\n";
    private static final String HEAD_END = "\r\n\r\n";
    private static final int MAX_HEAD_CHARS = 8_192;

    private final Predicate<String> carriedId;
    /** What may be the beginning of another response, up to the last byte of the body so far. */
    private final StringBuilder pending = new StringBuilder();

    /**
     * Creates a scanner for a body of which nothing has arrived.
     *
     * @param carriedId whether a text may be the id of a request that the connection has carried
     */
    CopyScanner(final Predicate<String> carriedId) {
        this.carriedId = Objects.requireNonNull(carriedId);
    }

    /** Begins with another body. */
    void reset() {
        pending.setLength(0);
    }

    /**
     * Reads the next bytes of the body.
     *
     * @param bytes the bytes; neither read nor released
     * @return whether the body holds the beginning of another response
     */
    boolean append(final ByteBuf bytes) {
        if (pending.isEmpty() && bytes.indexOf(bytes.readerIndex(), bytes.writerIndex(), (byte) 'H') < 0) {
            return false;
        }
        pending.append(bytes.toString(StandardCharsets.ISO_8859_1));
        return search(pending.length());
    }

    /**
     * Reads the bytes behind the end of the body.
     *
     * @param bytes the bytes; neither read nor released
     * @return whether another response may begin in the body and go on in these bytes
     */
    boolean appendBehindEnd(final ByteBuf bytes) {
        if (pending.isEmpty() || !bytes.isReadable()) {
            return false;
        }
        final int bodyEnd = pending.length();
        final int length = Math.min(bytes.readableBytes(), MAX_HEAD_CHARS);
        pending.append(bytes.toString(bytes.readerIndex(), length, StandardCharsets.ISO_8859_1));
        return search(bodyEnd) || pending.length() > length;
    }

    /**
     * Returns whether the body so far ends with what may be the beginning of another response.
     *
     * @return true if only the bytes behind it can tell
     */
    boolean endsUndecided() {
        return !pending.isEmpty();
    }

    private boolean search(final int limit) {
        int start = pending.indexOf(VERSION_PREFIX);
        while (start >= 0 && start < limit) {
            final int headEnd = pending.indexOf(HEAD_END, start);
            final int end = headEnd < 0 ? pending.length() : headEnd + LINE_END.length();
            if (namesCarriedRequest(start, end)) {
                return true;
            }
            if (headEnd < 0 && pending.length() - start < MAX_HEAD_CHARS) {
                pending.delete(0, start);
                return false;
            }
            start = pending.indexOf(VERSION_PREFIX, start + 1);
        }
        keepUnfinishedPrefix();
        return false;
    }

    private void keepUnfinishedPrefix() {
        int kept = Math.min(VERSION_PREFIX.length() - 1, pending.length());
        while (!VERSION_PREFIX.startsWith(pending.substring(pending.length() - kept))) {
            kept--;
        }
        pending.delete(0, pending.length() - kept);
    }

    private boolean namesCarriedRequest(final int start, final int end) {
        final String head = pending.substring(start, end);
        final Matcher statusLine = STATUS_LINE.matcher(head);
        if (!statusLine.lookingAt() || head.lastIndexOf(VERSION_PREFIX, statusLine.end()) > 0) {
            return false;
        }
        int lineStart = statusLine.end();
        int lineEnd = head.indexOf(LINE_END, lineStart);
        while (lineEnd >= 0) {
            final int colon = head.indexOf(':', lineStart);
            if (colon >= 0
                    && colon < lineEnd
                    && carriedId.test(head.substring(colon + 1, lineEnd).trim())) {
                return true;
            }
            lineStart = lineEnd + LINE_END.length();
            lineEnd = head.indexOf(LINE_END, lineStart);
        }
        return false;
    }
}
