package org.balsambank.gateway.log;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the decision log. Confined to one thread. */
final class JsonLogTest {
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
}
