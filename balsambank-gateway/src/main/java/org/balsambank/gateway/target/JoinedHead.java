package org.balsambank.gateway.target;

import java.util.Map;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Recognizes heads that were put together from a part of one response and the beginning of another.
 *
 * <p>A target may send a part of a second copy of a response where the next one is due. If the part ends inside the
 * head, its lines and those of the next response are one head for a decoder, with the status of the one and the request
 * id of the other. What gives it away is the status line of the second response somewhere after the beginning.
 *
 * <p>Immutable and thread-safe.
 */
final class JoinedHead {
    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [0-9]{3}(?: |$)");

    private JoinedHead() {}

    /**
     * Returns whether a head holds the beginning of another response.
     *
     * @param head the head
     * @return true if a status line stands in it after its own, or its version is none that targets speak
     */
    static boolean matches(final HttpResponse head) {
        if (!knownVersion(head.protocolVersion())
                || holdsStatusLine(head.status().reasonPhrase())) {
            return true;
        }
        for (final Map.Entry<String, String> header : head.headers()) {
            if (header.getKey().startsWith(VERSION_PREFIX) || holdsStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean knownVersion(final HttpVersion version) {
        return version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0);
    }

    private static boolean holdsStatusLine(final String text) {
        return text.contains(VERSION_PREFIX) && STATUS_LINE.matcher(text).find();
    }
}
