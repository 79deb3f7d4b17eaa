package org.balsambank.gateway.target;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link StrictResponseDecoder}. */
final class StrictResponseDecoderTest {
    @ParameterizedTest
    @ValueSource(strings = {"abHTTP/1.1 500 Internal Server Error", "HTTP/1.0 503", "x HTTP/1.1 421 "})
    void statusLineInAValueIsAPartOfAnotherResponse(final String value) {
        assertTrue(StrictResponseDecoder.holdsAnotherResponse(head("OK", "Via", value)));
        assertTrue(StrictResponseDecoder.holdsAnotherResponse(head(value, "Via", "1.1 a")));
    }

    // Guards against sound responses that are lost since a header names the protocol.
    @ParameterizedTest
    @ValueSource(strings = {"1.1 a", "HTTP/1.1 proxy", "HTTP/1.1 200.1.2.3:80", "HTTP/1.1", "1.1 a, HTTP/1.1 2009 b"})
    void protocolInAValueIsNoOtherResponse(final String value) {
        assertFalse(StrictResponseDecoder.holdsAnotherResponse(head("OK", "Via", value)));
    }

    @Test
    void versionThatTargetsDoNotSpeakIsAPartOfAnotherResponse() {
        final HttpVersion joined = new HttpVersion("HTTHTTP", 1, 1, true);
        assertTrue(StrictResponseDecoder.holdsAnotherResponse(new DefaultHttpResponse(joined, HttpResponseStatus.OK)));
    }

    private static HttpResponse head(final String reason, final String name, final String value) {
        final HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, new HttpResponseStatus(200, reason));
        head.headers().set(name, value);
        return head;
    }
}
