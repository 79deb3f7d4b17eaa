package org.balsambank.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.balsambank.core.error.BalsambankException;
import org.balsambank.protocol.generated.relay.RelayEvent;

/**
 * Checks the events of one attempt's answer before they are passed on.
 *
 * <p>Invariants: at most one head is passed on per request; the end is passed on only after a whole answer. Confined to
 * the decision loop.
 */
abstract class ResponseFilter {
    /** The first status that says that the target failed. */
    static final int FIRST_SERVER_ERROR = 500;

    private final ResponseProgress progress;
    private long received;
    private boolean ended;

    /**
     * Creates a filter for one attempt.
     *
     * @param progress what was passed on by all attempts
     */
    ResponseFilter(final ResponseProgress progress) {
        this.progress = Objects.requireNonNull(progress);
    }

    /**
     * Checks one event.
     *
     * @param event the event
     * @return the events to pass on
     * @throws BalsambankException if the answer must not be passed on
     */
    final List<RelayEvent> accept(final RelayEvent event) throws BalsambankException {
        switch (event.getEventCase()) {
            case HEAD:
                return head(event);
            case CHUNK:
                received += event.getChunk().getData().size();
                return chunk(event);
            case END:
                return checkedEnd(event);
            default:
                return List.of();
        }
    }

    /**
     * Tells whether the end was seen.
     *
     * @return true after the end of a whole answer
     */
    final boolean ended() {
        return ended;
    }

    /**
     * Checks the head.
     *
     * @param event the event
     * @return the events to pass on
     * @throws BalsambankException if the answer must not be passed on
     */
    abstract List<RelayEvent> head(RelayEvent event) throws BalsambankException;

    /**
     * Checks a part of the body.
     *
     * @param event the event
     * @return the events to pass on
     * @throws BalsambankException if the answer must not be passed on
     */
    abstract List<RelayEvent> chunk(RelayEvent event) throws BalsambankException;

    /**
     * Checks that the answer is whole.
     *
     * @return the events to pass on before the end
     * @throws BalsambankException if the answer is not whole
     */
    abstract List<RelayEvent> beforeEnd() throws BalsambankException;

    /**
     * Returns what was passed on.
     *
     * @return the progress of the request
     */
    final ResponseProgress progress() {
        return progress;
    }

    private List<RelayEvent> checkedEnd(final RelayEvent event) throws BalsambankException {
        if (event.getEnd().getBytes() != received) {
            throw ResponseFilters.cutShort();
        }
        final List<RelayEvent> last = new ArrayList<>(beforeEnd());
        ended = true;
        last.add(ResponseFilters.end(progress.bytes()));
        return last;
    }
}
