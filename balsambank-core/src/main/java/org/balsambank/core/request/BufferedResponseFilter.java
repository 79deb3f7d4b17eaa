package org.balsambank.core.request;

import java.util.List;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.protocol.generated.relay.RelayEvent;

/**
 * Buffers an engine's JSON response until it is complete and its adapter version is checked.
 *
 * <p>Invariant: a response larger than {@link #MAX_RESPONSE_BYTES} is rejected. Confined to the decision loop.
 */
final class BufferedResponseFilter extends ResponseFilter {
    /** Maximum size of a response body. */
    static final int MAX_RESPONSE_BYTES = 8 << 20;

    private static final int FIRST_ERROR_STATUS = 400;

    private final AdapterRef adapter;
    private RelayEvent head = RelayEvent.getDefaultInstance();
    private ByteString body = ByteString.EMPTY;

    /**
     * Creates a filter for one attempt.
     *
     * @param adapter the requested adapter version
     * @param progress the progress of the response over all attempts
     */
    BufferedResponseFilter(final AdapterRef adapter, final ResponseProgress progress) {
        super(progress);
        this.adapter = Objects.requireNonNull(adapter);
    }

    @Override
    List<RelayEvent> head(final RelayEvent event) throws BalsambankException {
        if (event.getHead().getStatus() >= FIRST_SERVER_ERROR_STATUS) {
            throw new BalsambankException(ErrorKind.TARGET_FAILED, "the target failed");
        }
        head = event;
        return List.of();
    }

    @Override
    List<RelayEvent> chunk(final RelayEvent event) throws BalsambankException {
        body = body.concat(event.getChunk().getData());
        if (body.size() > MAX_RESPONSE_BYTES) {
            throw new BalsambankException(ErrorKind.TARGET_FAILED, "the answer of the target is too large");
        }
        return List.of();
    }

    @Override
    List<RelayEvent> beforeEnd() throws BalsambankException {
        if (head.getHead().getStatus() < FIRST_ERROR_STATUS) {
            checkVersion();
        }
        progress().headForwarded();
        progress().recordBytes(body.size());
        return body.isEmpty() ? List.of(head) : List.of(head, ResponseFilters.chunk(body));
    }

    private void checkVersion() throws BalsambankException {
        final JsonNode response = CompletionResponse.json(body).orElseThrow(ResponseFilters::truncated);
        ResponseFilters.checkModel(adapter, CompletionResponse.model(response));
        progress().recordUsage(CompletionResponse.totalTokens(response));
    }
}
