package org.balsambank.core.request;

import java.util.List;

import com.google.protobuf.ByteString;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.protocol.generated.relay.RelayChunk;
import org.balsambank.protocol.generated.relay.RelayEnd;
import org.balsambank.protocol.generated.relay.RelayEvent;

/** Creates response filters, and the events and errors that they share. Stateless and thread-safe. */
final class ResponseFilters {
    private ResponseFilters() {}

    /**
     * Creates the filter for one attempt.
     *
     * @param plan the request plan
     * @param streaming true if the caller requested a streamed response
     * @param progress the progress of the response over all attempts
     * @return the filter
     */
    static ResponseFilter forAttempt(final RequestPlan plan, final boolean streaming, final ResponseProgress progress) {
        if (plan.adapter().isEmpty()) {
            return new PassThroughFilter(progress);
        }
        final AdapterRef adapter = plan.adapter().get();
        return streaming ? new EventStreamFilter(adapter, progress) : new BufferedResponseFilter(adapter, progress);
    }

    /**
     * Creates an event with a chunk of the body.
     *
     * @param data the chunk
     * @return the event
     */
    static RelayEvent chunk(final ByteString data) {
        return RelayEvent.newBuilder()
                .setChunk(RelayChunk.newBuilder().setData(data))
                .build();
    }

    /**
     * Creates the event that ends a response.
     *
     * @param bytes the total size of the body
     * @return the event
     */
    static RelayEvent end(final long bytes) {
        return RelayEvent.newBuilder()
                .setEnd(RelayEnd.newBuilder().setBytes(bytes))
                .build();
    }

    /**
     * Creates the error for a truncated response.
     *
     * @return the error
     */
    static BalsambankException truncated() {
        return new BalsambankException(ErrorKind.TARGET_LOST, "the answer of the target was cut short");
    }

    /**
     * Checks that the requested adapter version produced the response.
     *
     * @param requested the requested adapter version
     * @param model the adapter version named in the response
     * @throws BalsambankException of kind {@code WRONG_ADAPTER} if they differ
     */
    static void checkModel(final AdapterRef requested, final String model) throws BalsambankException {
        if (!requested.toString().equals(model)) {
            throw new BalsambankException(ErrorKind.WRONG_ADAPTER, "the target answered for another adapter");
        }
    }

    /** Forwards the response of a plain service unchanged. Confined to the decision loop. */
    private static final class PassThroughFilter extends ResponseFilter {
        PassThroughFilter(final ResponseProgress progress) {
            super(progress);
        }

        @Override
        List<RelayEvent> head(final RelayEvent event) {
            progress().headForwarded();
            return List.of(event);
        }

        @Override
        List<RelayEvent> chunk(final RelayEvent event) {
            progress().recordBytes(event.getChunk().getData().size());
            return List.of(event);
        }

        @Override
        List<RelayEvent> beforeEnd() {
            return List.of();
        }
    }
}
