package org.balsambank.core.request;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;

/**
 * Splits a byte stream into complete server-sent events.
 *
 * <p>Invariant: buffers at most one incomplete event of at most {@link #MAX_EVENT_BYTES} bytes. Confined to the
 * decision loop.
 */
final class EventStreamSplitter {
    /** Maximum size of an event. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';

    private ByteString incomplete = ByteString.EMPTY;

    /**
     * Adds bytes and returns the events that they complete.
     *
     * @param data the bytes
     * @return the complete events, each including its blank line
     * @throws BalsambankException of kind {@code TARGET_FAILED} if an event is too large
     */
    List<ByteString> split(final ByteString data) throws BalsambankException {
        final ByteString all = incomplete.concat(data);
        final List<ByteString> events = new ArrayList<>();
        int start = 0;
        boolean lineEmpty = false;
        for (int i = 0; i < all.size(); i++) {
            final byte value = all.byteAt(i);
            if (value == LINE_FEED && lineEmpty) {
                events.add(all.substring(start, i + 1));
                start = i + 1;
            }
            lineEmpty = value == LINE_FEED || lineEmpty && value == CARRIAGE_RETURN;
        }
        incomplete = all.substring(start);
        if (incomplete.size() > MAX_EVENT_BYTES) {
            throw new BalsambankException(ErrorKind.TARGET_FAILED, "an event of the target is too large");
        }
        return events;
    }

    /**
     * Returns whether an incomplete event is buffered.
     *
     * @return true if the bytes so far end inside an event
     */
    boolean hasIncompleteEvent() {
        return !incomplete.isEmpty();
    }
}
