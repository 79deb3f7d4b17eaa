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
 * Forwards an engine's streamed response, in complete events only, once its first event names the requested adapter
 * version.
 *
 * <p>Invariant: no data of a successful response is forwarded before the adapter version is checked. Confined to the
 * decision loop.
 */
final class EventStreamFilter extends ResponseFilter {
    private static final int FIRST_ERROR_STATUS = 400;

    private final AdapterRef adapter;
    private final EventStreamSplitter splitter = new EventStreamSplitter();
    private RelayEvent head;
    private boolean errorResponse;
    private boolean versionChecked;
    private boolean done;

    /**
     * Creates a filter for one attempt.
     *
     * @param adapter the requested adapter version
     * @param progress the progress of the response over all attempts
     */
    EventStreamFilter(final AdapterRef adapter, final ResponseProgress progress) {
        super(progress);
        this.adapter = Objects.requireNonNull(adapter);
    }

    @Override
    List<RelayEvent> head(final RelayEvent event) throws BalsambankException {
        if (event.getHead().getStatus() >= FIRST_SERVER_ERROR_STATUS) {
            throw new BalsambankException(ErrorKind.TARGET_FAILED, "the target failed");
        }
        head = event;
        errorResponse = event.getHead().getStatus() >= FIRST_ERROR_STATUS;
        return List.of();
    }

    @Override
    List<RelayEvent> chunk(final RelayEvent event) throws BalsambankException {
        final List<RelayEvent> out = new ArrayList<>(2);
        if (errorResponse) {
            forwardBody(event.getChunk().getData(), out);
            return out;
        }
        ByteString completeEvents = ByteString.EMPTY;
        for (final ByteString item : splitter.split(event.getChunk().getData())) {
            inspect(item);
            completeEvents = completeEvents.concat(item);
        }
        if (!completeEvents.isEmpty() && versionChecked) {
            forwardBody(completeEvents, out);
        }
        return out;
    }

    @Override
    List<RelayEvent> beforeEnd() throws BalsambankException {
        final List<RelayEvent> out = new ArrayList<>(1);
        if (errorResponse) {
            forwardHead(out);
        } else if (!done || splitter.hasIncompleteEvent()) {
            throw ResponseFilters.truncated();
        }
        return out;
    }

    private void forwardBody(final ByteString data, final List<RelayEvent> out) {
        forwardHead(out);
        progress().recordBytes(data.size());
        out.add(ResponseFilters.chunk(data));
    }

    private void forwardHead(final List<RelayEvent> out) {
        if (!progress().started()) {
            progress().headForwarded();
            out.add(head);
        }
    }

    private void inspect(final ByteString event) throws BalsambankException {
        if (!CompletionResponse.hasData(event)) {
            return;
        }
        if (CompletionResponse.isDone(event)) {
            done = versionChecked;
            return;
        }
        if (!versionChecked) {
            inspectFirst(event);
            return;
        }
        progress().recordTokens(1);
        if (CompletionResponse.mayReportUsage(event)) {
            CompletionResponse.data(event).map(CompletionResponse::totalTokens).ifPresent(progress()::recordUsage);
        }
    }

    private void inspectFirst(final ByteString event) throws BalsambankException {
        final Optional<JsonNode> response = CompletionResponse.data(event);
        if (response.isEmpty() || response.get().has("error")) {
            throw new BalsambankException(ErrorKind.TARGET_FAILED, "the target answered with an error");
        }
        ResponseFilters.checkModel(adapter, CompletionResponse.model(response.get()));
        progress().recordTokens(CompletionResponse.hasToken(response.get()) ? 1 : 0);
        progress().recordUsage(CompletionResponse.totalTokens(response.get()));
        versionChecked = true;
    }
}
