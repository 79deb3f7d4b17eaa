package org.balsambank.gateway.target;

import io.netty.buffer.ByteBuf;

/**
 * The last bytes of an event stream, which tell whether it ended between two events. A blank line ends an event.
 *
 * <p>Confined to the decision loop.
 */
final class EventStreamTail {
    private static final int KEPT_BYTES = 3;
    private static final int KEPT_MASK = 0xff_ff_ff;
    private static final int LAST_TWO_MASK = 0xff_ff;
    private static final int LINE_FEEDS = '\n' << 8 | '\n';
    private static final int CARRIAGE_RETURNS = '\r' << 8 | '\r';
    private static final int MIXED_LINE_ENDS = '\n' << 16 | '\r' << 8 | '\n';

    private int last;

    /**
     * Appends bytes of the stream.
     *
     * @param bytes the bytes; neither read nor released
     */
    void append(final ByteBuf bytes) {
        final int end = bytes.writerIndex();
        for (int i = Math.max(bytes.readerIndex(), end - KEPT_BYTES); i < end; i++) {
            last = (last << 8 | bytes.getUnsignedByte(i)) & KEPT_MASK;
        }
    }

    /**
     * Returns whether there was no byte yet.
     *
     * @return true for an empty stream
     */
    boolean empty() {
        return last == 0;
    }

    /**
     * Returns whether the last event is complete.
     *
     * @return true if the stream ends with a blank line
     */
    boolean endsWithBlankLine() {
        final int lastTwo = last & LAST_TWO_MASK;
        return lastTwo == LINE_FEEDS || lastTwo == CARRIAGE_RETURNS || last == MIXED_LINE_ENDS;
    }
}
