package org.balsambank.core.serving.target;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.fake.FakeDecisionLoop;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.RequestId;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.time.TimerService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests what a VM believes of the limits that targets name in their responses. Confined to one thread. */
final class TargetLimitsTest {
    private static final TargetId TARGET = new TargetId("t");
    private static final RequestId REQUEST = new RequestId("r");

    private final TestScheduler clock = new TestScheduler();
    private final TimerService timer = new FakeDecisionLoop(clock).timer();
    private final List<String> events = new ArrayList<>();
    private final DecisionLog log = event -> {
        events.add(event);
        return DecisionLog.Line.NONE;
    };
    private final TargetTable targets = new TargetTable(timer, DecisionLog.NONE);
    private final TargetLimits limits = new TargetLimits(targets, timer, log);

    TargetLimitsTest() {
        announce(1);
        clock.advanceTimeBy(1, TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @CsvSource({
        "1,1",
        "0,0",
        "0.5,0.5",
        "' 1.25 ',1.25",
        ".5,0.5",
        "2.,2",
        "007,7",
        "123456789012345678901234567890,1e29"
    })
    void decimalNumberIsALimit(final String text, final double perSecond) {
        hear(text);
        assertEquals(perSecond, limit(), perSecond);
        assertEquals(List.of("target_limited"), events);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "soon", "-1", "NaN", "Infinity", "1e300", "0x10", "1d", "1 2", "1;q=2"})
    void unreadableLimitChangesNothingAndIsLoggedOnce(final String text) {
        hear(text);
        hear(text);
        assertEquals(Double.POSITIVE_INFINITY, limit());
        assertEquals(List.of("target_limit_ignored"), events);
        hear("3");
        hear(text);
        assertEquals(3, limit());
    }

    @Test
    void lowestOfSeveralLimitsCounts() {
        hear("4", "2");
        assertEquals(2, limit());
        hear("1.5, 3");
        assertEquals(1.5, limit());
        hear("soon", "1");
        assertEquals(1, limit());
    }

    @Test
    void limitEndsWithAResponseThatNamesNone() {
        hear("1");
        hear();
        assertEquals(Double.POSITIVE_INFINITY, limit());
        assertEquals(List.of("target_limited", "target_limit_ended"), events);
    }

    // Guards against LIMIT: a response that was overtaken ends a limit that still holds.
    @Test
    void responseToAnEarlierRequestNeitherRaisesNorEndsALimit() {
        final long sent = timer.nanoTime();
        clock.advanceTimeBy(1, TimeUnit.SECONDS);
        hear("1");
        assertFalse(limits.recordNotice(announcement(1), List.of(), sent, REQUEST));
        assertFalse(limits.recordNotice(announcement(1), List.of("8"), sent, REQUEST));
        assertEquals(1, limit());
        assertTrue(limits.recordNotice(announcement(1), List.of("0.5"), sent, REQUEST));
        assertEquals(0.5, limit());
    }

    @Test
    void targetThatNamesItsLimitInEachResponseIsLoggedWhenItChanges() {
        for (int i = 0; i < 100; i++) {
            hear("1");
        }
        hear("2");
        hear("2");
        assertEquals(List.of("target_limited", "target_limited"), events);
    }

    @Test
    void newStartHasNoLimitAndIgnoresResponsesOfAnEarlierOne() {
        hear("1");
        announce(2);
        assertEquals(Double.POSITIVE_INFINITY, limit());
        assertFalse(limits.recordNotice(announcement(1), List.of("1"), timer.nanoTime(), REQUEST));
        assertEquals(Double.POSITIVE_INFINITY, limit());
    }

    private void hear(final String... values) {
        clock.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        limits.recordNotice(announcement(1), List.of(values), timer.nanoTime(), REQUEST);
    }

    private double limit() {
        return limits.of(TARGET).perSecond();
    }

    private void announce(final long started) {
        targets.recordAnnouncement(announcement(started), started);
    }

    private static TargetAnnouncement announcement(final long started) {
        return new TargetAnnouncement(
                TARGET,
                new ServiceName("s"),
                "127.0.0.1",
                1,
                new FailureDomain("d"),
                1,
                false,
                0,
                started,
                List.of(),
                Map.of());
    }
}
