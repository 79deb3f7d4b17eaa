package org.balsambank.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.balsambank.gateway.log.JsonLog;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests what is recorded of a late decision loop. Confined to one thread. */
final class LoopLatenessTest {
    private static final String LINE = "{\"time_ms\":1,\"event\":\"loop_late\",\"late_ms\":%d}\n";

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final JsonLog log = new JsonLog(output, () -> 1);
    private final MeterRegistry registry = new SimpleMeterRegistry();
    private final LoopLateness lateness = new LoopLateness(registry, log);

    @Test
    void logsOneLineForAllTimersThatWereLateForTheSameReason() {
        timerFired(249, 1_000);
        timerFired(400, 2_000);
        timerFired(390, 2_001);
        timerFired(300, 2_301);
        timerFired(250, 2_600);
        assertEquals(LINE.formatted(400) + LINE.formatted(300) + LINE.formatted(250), logged());
        assertEquals(5, registry.get("balsambank.serving.loop.late").timer().count());
    }

    private void timerFired(final long lateMillis, final long nowMillis) {
        lateness.timerFired(
                Duration.ofMillis(lateMillis).toNanos(),
                Duration.ofMillis(nowMillis).toNanos());
    }

    private String logged() {
        log.flush();
        return output.toString(StandardCharsets.UTF_8);
    }
}
