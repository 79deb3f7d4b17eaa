package org.balsambank.core.port;

import java.util.Objects;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the beginning of another response inside a body.
 *
 * <p>A target may break a response off and go on with another one, a copy or the next response. A body with a length
 * then ends with bytes of that other one. What gives it away is a status line in the body, followed by headers of which
 * one holds the id of a request that the connection has carried. A body that only quotes a response holds no such id.
 *
 * <p>Invariants: holds at most {@value #MAX_HEAD_CHARS} characters beyond what is appended at a time; reads each line
 * once, against the last status line before it. Confined to the decision loop.
 */
public final class CopyScanner {
    /** The most characters that are read behind the end of a body. */
    public static final int MAX_HEAD_CHARS = 8_192;

    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [0-9]{3}");
    private static final String LINE_END = "\r\n";
    private static final int NONE = -1;

    private final Predicate<String> carriedId;
    /** What may be the beginning of another response, up to the last byte of the body so far. */
    private final StringBuilder pending = new StringBuilder();
    /** Where the last status line begins whose headers are being read, or {@link #NONE}. */
    private int headStart = NONE;
    /** Where the first line begins that has not been read to its end. */
    private int lineStart;

    /**
     * Creates a scanner for a body of which nothing has arrived.
     *
     * @param carriedId whether a text may be the id of a request that the connection has carried
     */
    public CopyScanner(final Predicate<String> carriedId) {
        this.carriedId = Objects.requireNonNull(carriedId);
    }

    /** Begins with another body. */
    public void reset() {
        pending.setLength(0);
        headStart = NONE;
        lineStart = 0;
    }

    /**
     * Reads the next bytes of the body.
     *
     * @param text the bytes, one character each
     * @return whether the body holds the beginning of another response
     */
    public boolean append(final String text) {
        if (pending.isEmpty() && text.indexOf('H') < 0) {
            return false;
        }
        pending.append(text);
        return search(pending.length());
    }

    /**
     * Reads the bytes behind the end of the body.
     *
     * @param text the first of the bytes, one character each, at most {@value #MAX_HEAD_CHARS}
     * @return whether another response may begin in the body and go on in these bytes
     */
    public boolean appendBehindEnd(final String text) {
        if (pending.isEmpty() || text.isEmpty()) {
            return false;
        }
        final int bodyEnd = pending.length();
        pending.append(text);
        return search(bodyEnd) || pending.length() > text.length();
    }

    /**
     * Returns whether the body so far ends with what may be the beginning of another response.
     *
     * @return true if only the bytes behind it can tell
     */
    public boolean endsUndecided() {
        return !pending.isEmpty();
    }

    /**
     * Reads on where the last search ended.
     *
     * @param limit where the body ends; another response must begin before
     * @return whether another response begins there
     */
    private boolean search(final int limit) {
        int lineEnd = pending.indexOf(LINE_END, lineStart);
        while (lineEnd >= 0) {
            if (readLine(pending.substring(lineStart, lineEnd), limit)) {
                return true;
            }
            lineStart = lineEnd + LINE_END.length();
            lineEnd = pending.indexOf(LINE_END, lineStart);
        }
        keepHeadOrItsBeginning(limit);
        return false;
    }

    private boolean readLine(final String line, final int limit) {
        final int statusLine = line.lastIndexOf(VERSION_PREFIX);
        if (statusLine >= 0 && lineStart + statusLine < limit && mayBeStatusLine(line.substring(statusLine), false)) {
            headStart = lineStart + statusLine;
            return false;
        }
        if (line.isEmpty()) {
            headStart = NONE;
        }
        final int colon = line.indexOf(':');
        return headStart != NONE
                && colon >= 0
                && carriedId.test(line.substring(colon + 1).trim());
    }

    private static boolean mayBeStatusLine(final String text, final boolean unfinished) {
        final Matcher statusLine = STATUS_LINE.matcher(text);
        return statusLine.lookingAt() || unfinished && statusLine.hitEnd();
    }

    private void keepHeadOrItsBeginning(final int limit) {
        int kept = headStart;
        if (kept == NONE || pending.length() - kept >= MAX_HEAD_CHARS) {
            headStart = NONE;
            kept = unfinishedStatusLine(limit);
        }
        pending.delete(0, kept);
        lineStart = Math.max(0, lineStart - kept);
        headStart = headStart == NONE ? NONE : 0;
    }

    private int unfinishedStatusLine(final int limit) {
        final String line = pending.substring(lineStart);
        final int start = line.lastIndexOf(VERSION_PREFIX, limit - 1 - lineStart);
        if (start >= 0 && line.length() - start < MAX_HEAD_CHARS && mayBeStatusLine(line.substring(start), true)) {
            return lineStart + start;
        }
        int kept = Math.min(VERSION_PREFIX.length() - 1, line.length());
        while (!VERSION_PREFIX.startsWith(line.substring(line.length() - kept))) {
            kept--;
        }
        return pending.length() - kept;
    }
}
