package org.balsambank.core.port;

import java.util.Map;
import java.util.regex.Pattern;

/**
 * Recognizes heads of HTTP responses that were put together from a part of one response and the beginning of another.
 *
 * <p>A target may break off a response inside its head, or send a part of a second copy of one, and then begin another
 * on the same connection. For a decoder the lines of both are one head, with the status of the one and the request id
 * of the other. What gives it away is the status line of the second response somewhere after the first one.
 *
 * <p>Immutable and thread-safe.
 */
public final class JoinedHead {
    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [0-9]{3}(?: |$)");

    private JoinedHead() {}

    /**
     * Returns whether a head holds the status line of another response after its own.
     *
     * @param reasonPhrase the reason phrase of its status line
     * @param headers the names and values of its headers
     * @return true if a status line stands in one of them
     */
    public static boolean matches(
            final String reasonPhrase, final Iterable<? extends Map.Entry<String, String>> headers) {
        if (holdsStatusLine(reasonPhrase)) {
            return true;
        }
        for (final Map.Entry<String, String> header : headers) {
            if (header.getKey().startsWith(VERSION_PREFIX) || holdsStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean holdsStatusLine(final String text) {
        return text.contains(VERSION_PREFIX) && STATUS_LINE.matcher(text).find();
    }
}
