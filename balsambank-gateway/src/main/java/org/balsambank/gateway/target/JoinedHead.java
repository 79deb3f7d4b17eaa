package org.balsambank.gateway.target;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Recognizes decoded heads that were put together from a part of one response and the beginning of another, also by a
 * version that no target speaks.
 *
 * <p>Immutable and thread-safe.
 */
final class JoinedHead {
    private JoinedHead() {}

    /**
     * Returns whether a head holds the beginning of another response.
     *
     * @param head the head
     * @return true if a status line stands in it after its own, or its version is none that targets speak
     */
    static boolean matches(final HttpResponse head) {
        return !knownVersion(head.protocolVersion())
                || org.balsambank.core.port.JoinedHead.matches(head.status().reasonPhrase(), head.headers());
    }

    private static boolean knownVersion(final HttpVersion version) {
        return version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0);
    }
}
