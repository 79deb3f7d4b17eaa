package org.balsambank.gateway.log;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the decision log. Confined to one thread. */
final class JsonLogTest {
    private static final int PIPE_BUF = 4_096;
    private static final int MORE_THAN_QUEUE_CAPACITY = 5_000;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final JsonLog log = new JsonLog(out, () -> 7);

    @Test
    void writesOneObjectPerLineAndEscapesText() {
        log.line("sent").with("request", "a\"b\n").with("remaining_ms", 12).write();
        log.flush();
        assertEquals(
                "{\"time_ms\":7,\"event\":\"sent\",\"request\":\"a\\\"b\\n\",\"remaining_ms\":12}\n",
                out.toString(StandardCharsets.UTF_8));
    }

    // Guards against log lines that are lost or cut in the middle of a batch that is written at once.
    @Test
    void writesWholeLinesInChunksThatAPipeTakesAtOnce() {
        final List<String> writes = new ArrayList<>();
        final JsonLog recorded = new JsonLog(new RecordingStream(writes), () -> 7);
        for (int i = 0; i < 500; i++) {
            recorded.line("sent").with("request", "r" + i).write();
        }
        recorded.flush();
        assertEquals(500, String.join("", writes).lines().count());
        for (final String write : writes) {
            assertTrue(write.length() <= PIPE_BUF, write);
            assertTrue(write.endsWith("}\n"), write);
        }
    }

    @Test
    void dropsAndCountsLinesWhenQueueIsFull() {
        for (int i = 0; i < MORE_THAN_QUEUE_CAPACITY; i++) {
            log.line("sent").write();
        }
        assertTrue(log.dropped() > 0);
        log.flush();
        log.line("sent").write();
        log.flush();
        assertTrue(out.toString(StandardCharsets.UTF_8).endsWith("\"dropped_lines\":" + log.dropped() + "}\n"));
    }

    /** Records each write. Confined to one thread. */
    private static final class RecordingStream extends OutputStream {
        private final List<String> writes;

        RecordingStream(final List<String> writes) {
            this.writes = writes;
        }

        @Override
        public void write(final int single) {
            throw new UnsupportedOperationException("lines are written together");
        }

        @Override
        public void write(final byte[] bytes) {
            writes.add(new String(bytes, StandardCharsets.UTF_8));
        }
    }
}
