package org.balsambank.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.protocol.generated.relay.RelayEvent;

/**
 * Passes on an engine's streamed answer, whole events only, once its first event names the right version.
 *
 * <p>Invariant: nothing is passed on before the version is checked. Confined to the decision loop.
 */
final class EventStreamFilter extends ResponseFilter {
    private static final int FIRST_ERROR = 400;

    private final AdapterRef adapter;
    private final EventStreamSplitter splitter = new EventStreamSplitter();
    private RelayEvent head;
    private boolean errorAnswer;
    private boolean checked;
    private boolean done;

    /**
     * Creates a filter for one attempt.
     *
     * @param adapter the version that was asked for
     * @param progress what was passed on by all attempts
     */
    EventStreamFilter(final AdapterRef adapter, final ResponseProgress progress) {
        super(progress);
        this.adapter = Objects.requireNonNull(adapter);
    }

    @Override
    List<RelayEvent> head(final RelayEvent event) throws BalsambankException {
        if (event.getHead().getStatus() >= FIRST_SERVER_ERROR) {
            throw new BalsambankException(ErrorKind.TARGET_FAILED, "the target failed");
        }
        head = event;
        errorAnswer = event.getHead().getStatus() >= FIRST_ERROR;
        return List.of();
    }

    @Override
    List<RelayEvent> chunk(final RelayEvent event) throws BalsambankException {
        final List<RelayEvent> out = new ArrayList<>(2);
        if (errorAnswer) {
            passBody(event.getChunk().getData(), out);
            return out;
        }
        ByteString whole = ByteString.EMPTY;
        for (final ByteString item : splitter.split(event.getChunk().getData())) {
            inspect(item);
            whole = whole.concat(item);
        }
        if (!whole.isEmpty() && checked) {
            passBody(whole, out);
        }
        return out;
    }

    @Override
    List<RelayEvent> beforeEnd() throws BalsambankException {
        final List<RelayEvent> out = new ArrayList<>(1);
        if (errorAnswer) {
            passHead(out);
        } else if (!done || splitter.insideEvent()) {
            throw ResponseFilters.cutShort();
        }
        return out;
    }

    private void passBody(final ByteString data, final List<RelayEvent> out) {
        passHead(out);
        progress().passed(data.size());
        out.add(ResponseFilters.chunk(data));
    }

    private void passHead(final List<RelayEvent> out) {
        if (!progress().started()) {
            progress().headPassed();
            out.add(head);
        }
    }

    private void inspect(final ByteString event) throws BalsambankException {
        if (!CompletionResponse.hasData(event)) {
            return;
        }
        if (CompletionResponse.isDone(event)) {
            done = checked;
            return;
        }
        if (!checked) {
            inspectFirst(event);
            return;
        }
        progress().tokens(1);
        if (CompletionResponse.mayReportUsage(event)) {
            CompletionResponse.data(event).map(CompletionResponse::totalTokens).ifPresent(progress()::reported);
        }
    }

    private void inspectFirst(final ByteString event) throws BalsambankException {
        final Optional<JsonNode> answer = CompletionResponse.data(event);
        if (answer.isEmpty() || answer.get().has("error")) {
            throw new BalsambankException(ErrorKind.TARGET_FAILED, "the target answered with an error");
        }
        ResponseFilters.checkModel(adapter, CompletionResponse.model(answer.get()));
        progress().tokens(CompletionResponse.hasToken(answer.get()) ? 1 : 0);
        progress().reported(CompletionResponse.totalTokens(answer.get()));
        checked = true;
    }
}
