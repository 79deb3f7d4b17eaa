package org.balsambank.gateway.log;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.balsambank.core.log.DecisionLog.Line;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the decision log. Confined to one thread. */
final class JsonLogTest {
    private static final int PIPE_BUF = 4_096;
    private static final int MORE_THAN_QUEUE_CAPACITY = 5_000;
    private static final int MAX_QUEUED_BYTES = 4_194_304;
    private static final int FIELDS = 8;
    private static final String LONG_VALUE = "\"".repeat(1_500);

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

    // Guards against a heap that is filled by lines with long ids of callers while the output is not read.
    @Test
    void queueIsBoundedByBytes() {
        for (int i = 0; i < MORE_THAN_QUEUE_CAPACITY; i++) {
            final Line line = log.line("ended");
            for (int field = 0; field < FIELDS; field++) {
                line.with("field" + field, LONG_VALUE);
            }
            line.write();
        }
        assertTrue(log.dropped() > 0);
        log.flush();
        assertTrue(out.size() <= MAX_QUEUED_BYTES, "bytes queued: " + out.size());
    }

    // Guards against the same while a batch is being written: its lines are held until the output has taken them.
    @Test
    void linesBeingWrittenCountUntilTheyAreWritten() {
        final int[] accepted = new int[1];
        final JsonLog[] slow = new JsonLog[1];
        slow[0] = new JsonLog(
                new RecordingStream(new ArrayList<>()) {
                    @Override
                    public void write(final byte[] bytes) {
                        accepted[0] += linesUntilDropped(slow[0]);
                    }
                },
                () -> 7);
        linesUntilDropped(slow[0]);
        slow[0].flush();
        assertEquals(0, accepted[0]);
    }

    private static int linesUntilDropped(final JsonLog log) {
        final long before = log.dropped();
        int accepted = -1;
        while (log.dropped() == before) {
            final Line line = log.line("ended");
            for (int field = 0; field < FIELDS; field++) {
                line.with("field" + field, LONG_VALUE);
            }
            line.write();
            accepted++;
        }
        return accepted;
    }

    // Guards against lines as long as the head of a request.
    @Test
    void longValuesAreCut() {
        log.line("ended").with("request", LONG_VALUE).write();
        log.flush();
        final String line = out.toString(StandardCharsets.UTF_8);
        assertEquals(
                "{\"time_ms\":7,\"event\":\"ended\",\"request\":\"" + "\\\"".repeat(512) + "... (1500 characters)\"}\n",
                line);
    }

    /** Records each write. Confined to one thread. */
    private static class RecordingStream extends OutputStream {
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
