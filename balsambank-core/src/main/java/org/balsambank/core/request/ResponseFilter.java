package org.balsambank.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.balsambank.core.error.BalsambankException;
import org.balsambank.protocol.generated.relay.RelayEvent;

/**
 * Validates the response events of one attempt before they are forwarded to the caller.
 *
 * <p>Invariants: at most one head is forwarded per request; the end is forwarded only after a complete response.
 * Confined to the decision loop.
 */
abstract class ResponseFilter {
    /** The lowest HTTP status that means a failure of the target. */
    static final int FIRST_SERVER_ERROR_STATUS = 500;

    private final ResponseProgress progress;
    private long received;
    private boolean ended;

    /**
     * Creates a filter for one attempt.
     *
     * @param progress the progress of the response over all attempts
     */
    ResponseFilter(final ResponseProgress progress) {
        this.progress = Objects.requireNonNull(progress);
    }

    /**
     * Validates one event.
     *
     * @param event the next event of the response
     * @return the events to forward
     * @throws BalsambankException if the response must not be forwarded
     */
    final List<RelayEvent> accept(final RelayEvent event) throws BalsambankException {
        switch (event.getEventCase()) {
            case HEAD:
                return head(event);
            case CHUNK:
                received += event.getChunk().getData().size();
                return chunk(event);
            case END:
                return validatedEnd(event);
            default:
                return List.of();
        }
    }

    /**
     * Returns whether the response has ended.
     *
     * @return true after the end of a complete response
     */
    final boolean ended() {
        return ended;
    }

    /**
     * Validates the response head.
     *
     * @param event the event with the head
     * @return the events to forward
     * @throws BalsambankException if the response must not be forwarded
     */
    abstract List<RelayEvent> head(RelayEvent event) throws BalsambankException;

    /**
     * Validates a chunk of the body.
     *
     * @param event the event with the chunk
     * @return the events to forward
     * @throws BalsambankException if the response must not be forwarded
     */
    abstract List<RelayEvent> chunk(RelayEvent event) throws BalsambankException;

    /**
     * Checks that the response is complete.
     *
     * @return the events to forward before the end
     * @throws BalsambankException if the response is truncated or names another adapter version
     */
    abstract List<RelayEvent> beforeEnd() throws BalsambankException;

    /**
     * Returns the progress of the response.
     *
     * @return the progress over all attempts of the request
     */
    final ResponseProgress progress() {
        return progress;
    }

    private List<RelayEvent> validatedEnd(final RelayEvent event) throws BalsambankException {
        if (event.getEnd().getBytes() != received) {
            throw ResponseFilters.truncated();
        }
        final List<RelayEvent> last = new ArrayList<>(beforeEnd());
        ended = true;
        last.add(ResponseFilters.end(progress.bytes()));
        return last;
    }
}
