package org.balsambank.core.port;

import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link JoinedHead}. */
final class JoinedHeadTest {
    @ParameterizedTest
    @ValueSource(strings = {"abHTTP/1.1 500 Internal Server Error", "HTTP/1.0 503", "x HTTP/1.1 421 "})
    void statusLineInAValueIsAPartOfAnotherResponse(final String value) {
        assertTrue(JoinedHead.matches("OK", Map.of("Via", value).entrySet()));
        assertTrue(JoinedHead.matches(value, Map.of("Via", "1.1 a").entrySet()));
    }

    @Test
    void statusLineInTheNameOfAHeaderIsAPartOfAnotherResponse() {
        assertTrue(JoinedHead.matches("OK", Map.of("HTTP/1.1 500 x", "").entrySet()));
    }

    // Guards against sound responses that are lost since a header names the protocol.
    @ParameterizedTest
    @ValueSource(strings = {"1.1 a", "HTTP/1.1 proxy", "HTTP/1.1 200.1.2.3:80", "HTTP/1.1", "1.1 a, HTTP/1.1 2009 b"})
    void protocolInAValueIsNoOtherResponse(final String value) {
        assertFalse(JoinedHead.matches("OK", Map.of("Via", value).entrySet()));
    }
}
