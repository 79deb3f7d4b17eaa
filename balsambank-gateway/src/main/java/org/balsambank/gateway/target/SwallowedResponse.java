package org.balsambank.gateway.target;

import java.nio.charset.StandardCharsets;
import java.util.Map;

import io.netty.buffer.search.AbstractMultiSearchProcessorFactory;
import io.netty.buffer.search.MultiSearchProcessor;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import org.balsambank.core.id.RequestId;

/**
 * Finds the response to the waiting request in the body of a response to another one.
 *
 * <p>A target may send a part of a second copy of a response where the next one is due. If the part ends inside the
 * body, the next response is read as the rest of it, or as the trailers behind its last chunk, and no other follows.
 * What gives it away is the id of the waiting request as the value of a header.
 *
 * <p>Invariant: the id is found no matter how the body is divided into chunks. Confined to the decision loop.
 */
final class SwallowedResponse {
    private final RequestId waiting;
    private final MultiSearchProcessor search;

    /**
     * Begins the search in one body.
     *
     * @param waiting the request whose response is due
     */
    SwallowedResponse(final RequestId waiting) {
        this.waiting = waiting;
        search = AbstractMultiSearchProcessorFactory.newAhoCorasicSearchProcessorFactory(
                        bytes(": " + waiting.value()), bytes(":" + waiting.value()))
                .newSearchProcessor();
    }

    private static byte[] bytes(final String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /**
     * Searches the next chunk of the body.
     *
     * @param chunk the bytes, with trailers if it is the last chunk
     * @return true if the response to the waiting request was read as a part of the body
     */
    boolean endsIn(final HttpContent chunk) {
        return chunk.content().forEachByte(search) >= 0 || chunk instanceof LastHttpContent last && inTrailers(last);
    }

    private boolean inTrailers(final LastHttpContent last) {
        return last.trailingHeaders().entries().stream()
                .map(Map.Entry::getValue)
                .anyMatch(waiting.value()::equals);
    }
}
