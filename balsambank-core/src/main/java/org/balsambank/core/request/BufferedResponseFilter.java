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
 * Holds an engine's JSON answer back until it is whole and the right version has answered.
 *
 * <p>Invariant: holds at most {@link #MAX_ANSWER_BYTES}. Confined to the decision loop.
 */
final class BufferedResponseFilter extends ResponseFilter {
    /** The size above which an answer is refused. */
    static final int MAX_ANSWER_BYTES = 8 << 20;

    private static final int FIRST_ERROR = 400;

    private final AdapterRef adapter;
    private RelayEvent head = RelayEvent.getDefaultInstance();
    private ByteString body = ByteString.EMPTY;

    /**
     * Creates a filter for one attempt.
     *
     * @param adapter the version that was asked for
     * @param progress what was passed on by all attempts
     */
    BufferedResponseFilter(final AdapterRef adapter, final ResponseProgress progress) {
        super(progress);
        this.adapter = Objects.requireNonNull(adapter);
    }

    @Override
    List<RelayEvent> head(final RelayEvent event) throws BalsambankException {
        if (event.getHead().getStatus() >= FIRST_SERVER_ERROR) {
            throw new BalsambankException(ErrorKind.TARGET_FAILED, "the target failed");
        }
        head = event;
        return List.of();
    }

    @Override
    List<RelayEvent> chunk(final RelayEvent event) throws BalsambankException {
        body = body.concat(event.getChunk().getData());
        if (body.size() > MAX_ANSWER_BYTES) {
            throw new BalsambankException(ErrorKind.TARGET_FAILED, "the answer of the target is too large");
        }
        return List.of();
    }

    @Override
    List<RelayEvent> beforeEnd() throws BalsambankException {
        if (head.getHead().getStatus() < FIRST_ERROR) {
            checkAnswer();
        }
        progress().headPassed();
        progress().passed(body.size());
        return body.isEmpty() ? List.of(head) : List.of(head, ResponseFilters.chunk(body));
    }

    private void checkAnswer() throws BalsambankException {
        final JsonNode answer = CompletionResponse.json(body).orElseThrow(ResponseFilters::cutShort);
        ResponseFilters.checkModel(adapter, CompletionResponse.model(answer));
        progress().reported(CompletionResponse.totalTokens(answer));
    }
}
