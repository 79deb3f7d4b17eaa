package org.balsambank.daemon.target;

import java.nio.charset.StandardCharsets;

import io.vertx.core.buffer.Buffer;

/**
 * Detects the end marker of a stream of server-sent events.
 *
 * <p>Invariant: buffers at most the last {@link #TAIL_BYTES} bytes. Confined to the decision loop.
 */
final class StreamEndDetector {
    private static final int TAIL_BYTES = 32;
    private static final String MARKER = "data:[DONE]";

    private String tail = "\n";

    /**
     * Processes the next bytes of the stream.
     *
     * @param data the bytes
     */
    void accept(final Buffer data) {
        final int start = Math.max(0, data.length() - TAIL_BYTES);
        final String all = tail + data.getString(start, data.length(), StandardCharsets.ISO_8859_1.name());
        tail = all.substring(Math.max(0, all.length() - TAIL_BYTES));
    }

    /**
     * Returns whether the last event of the stream is the end marker.
     *
     * @return true after {@code data: [DONE]} and a blank line
     */
    boolean detected() {
        final String text = tail.replace("\r", "");
        if (!text.endsWith("\n\n")) {
            return false;
        }
        final String event = text.stripTrailing();
        return event.substring(event.lastIndexOf('\n') + 1).replace(" ", "").equals(MARKER);
    }
}
