package org.balsambank.gateway.target;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import org.balsambank.core.id.RequestId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link SwallowedResponse}. */
final class SwallowedResponseTest {
    private static final String RESPONSE = "HTTP/1.1 500 X\r\nId: r2\r\nContent-Length: 6\r\n\r\nfailed";

    @Test
    void responseIsFoundNoMatterHowTheBodyIsDividedIntoChunks() {
        for (int i = 0; i <= RESPONSE.length(); i++) {
            final SwallowedResponse search = new SwallowedResponse(new RequestId("r2"));
            assertFalse(search.endsIn(chunk("the rest of a body")));
            assertTrue(search.endsIn(chunk(RESPONSE.substring(0, i))) || search.endsIn(chunk(RESPONSE.substring(i))));
        }
    }

    @Test
    void responseToAnotherRequestIsNotFound() {
        final SwallowedResponse search = new SwallowedResponse(new RequestId("r3"));
        assertFalse(search.endsIn(chunk(RESPONSE)));
    }

    private static HttpContent chunk(final String bytes) {
        return new DefaultHttpContent(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
    }
}
