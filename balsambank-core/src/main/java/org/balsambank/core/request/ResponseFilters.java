package org.balsambank.core.request;

import java.util.List;

import com.google.protobuf.ByteString;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.protocol.generated.relay.RelayChunk;
import org.balsambank.protocol.generated.relay.RelayEnd;
import org.balsambank.protocol.generated.relay.RelayEvent;

/** Makes the filters of answers and what they share. Stateless and thread-safe. */
final class ResponseFilters {
    private ResponseFilters() {}

    /**
     * Makes the filter for one attempt.
     *
     * @param plan what the request comes to
     * @param streaming true if the caller wants the answer in parts
     * @param progress what was passed on by all attempts
     * @return the filter
     */
    static ResponseFilter forAttempt(final RequestPlan plan, final boolean streaming, final ResponseProgress progress) {
        if (plan.adapter().isEmpty()) {
            return new PlainFilter(progress);
        }
        final AdapterRef adapter = plan.adapter().get();
        return streaming ? new EventStreamFilter(adapter, progress) : new BufferedResponseFilter(adapter, progress);
    }

    /**
     * Makes an event that carries a part of the body.
     *
     * @param data the part
     * @return the event
     */
    static RelayEvent chunk(final ByteString data) {
        return RelayEvent.newBuilder()
                .setChunk(RelayChunk.newBuilder().setData(data))
                .build();
    }

    /**
     * Makes the end of an answer.
     *
     * @param bytes the size of the body
     * @return the event
     */
    static RelayEvent end(final long bytes) {
        return RelayEvent.newBuilder()
                .setEnd(RelayEnd.newBuilder().setBytes(bytes))
                .build();
    }

    /**
     * Makes the error of an answer that is not whole.
     *
     * @return the error
     */
    static BalsambankException cutShort() {
        return new BalsambankException(ErrorKind.TARGET_LOST, "the answer of the target was cut short");
    }

    /**
     * Checks which version answered.
     *
     * @param asked the version that was asked for
     * @param model the version that the answer names
     * @throws BalsambankException of kind {@code WRONG_ADAPTER} if it is another one
     */
    static void checkModel(final AdapterRef asked, final String model) throws BalsambankException {
        if (!asked.toString().equals(model)) {
            throw new BalsambankException(ErrorKind.WRONG_ADAPTER, "the target answered for another adapter");
        }
    }

    /** Passes on the answer of a plain service. Confined to the decision loop. */
    private static final class PlainFilter extends ResponseFilter {
        PlainFilter(final ResponseProgress progress) {
            super(progress);
        }

        @Override
        List<RelayEvent> head(final RelayEvent event) {
            progress().headPassed();
            return List.of(event);
        }

        @Override
        List<RelayEvent> chunk(final RelayEvent event) {
            progress().passed(event.getChunk().getData().size());
            return List.of(event);
        }

        @Override
        List<RelayEvent> beforeEnd() {
            return List.of();
        }
    }
}
