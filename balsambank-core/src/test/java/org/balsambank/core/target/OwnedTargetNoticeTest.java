package org.balsambank.core.target;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.balsambank.core.catalogue.TrafficClass;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.port.TargetNotice;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests what the owner of a target does with what the target says of itself in its responses. */
final class OwnedTargetNoticeTest {
    private static final Duration SETTLE_TIME = Duration.ofSeconds(8);
    private static final Duration STEP = Duration.ofMillis(50);

    private final TargetFixture fixture = new TargetFixture(1, false);
    private final OwnedTargetGate gate = fixture.gate(FakeOwnership.ofAll());

    OwnedTargetNoticeTest() {
        fixture.advance(SETTLE_TIME);
        run(1);
        fixture.advance(SETTLE_TIME);
    }

    @AfterEach
    void noViolations() {
        assertEquals(List.of(), fixture.violations());
    }

    // Guards against LIMIT on the product's own interface: a target gets more requests a second than it has named.
    @ParameterizedTest
    @ValueSource(strings = {"0.5", "1", "4"})
    void targetGetsNoMoreThanTheLimitThatItHasNamed(final String perSecond) {
        fixture.notice = limited(perSecond);
        run(1);
        fixture.advance(SETTLE_TIME);
        final int before = fixture.engine(0).runs;
        for (int i = 0; i < 200; i++) {
            run(1);
            fixture.advance(STEP);
        }
        final double limit = Double.parseDouble(perSecond);
        final int runs = fixture.engine(0).runs - before;
        assertTrue(runs <= limit * 10 + 2 + limit, runs + " runs in 10 s");
        assertTrue(runs >= limit * 9, runs + " runs in 10 s");
    }

    @Test
    void targetGetsItsFullShareAfterItsLimitHasEnded() {
        fixture.notice = limited("1");
        run(1);
        fixture.advance(SETTLE_TIME);
        fixture.notice = TargetNotice.NONE;
        assertTakesBurstAfterNextResponse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "soon", "-1", "NaN", "1e300"})
    void unreadableLimitChangesNothing(final String perSecond) {
        fixture.notice = limited(perSecond);
        assertTakesBurstAfterNextResponse();
    }

    private void assertTakesBurstAfterNextResponse() {
        run(1);
        fixture.advance(SETTLE_TIME);
        final int before = fixture.engine(0).runs;
        run(8);
        fixture.advance(SETTLE_TIME);
        assertEquals(8, fixture.engine(0).runs - before);
    }

    // Guards against requests that wait for seconds at a target which takes few, though others could take them.
    @Test
    void requestWhoseTurnComesLateIsRejectedAtOnce() {
        fixture.notice = limited("2");
        run(1);
        fixture.advance(SETTLE_TIME);
        run(3);
        final AdmissionRequest last = fixture.request(0, 1, TrafficClass.NORMAL, "late", SETTLE_TIME);
        gate.acquire(last).test().assertError(error -> retryAfter(error).toMillis() > 1_000);
        fixture.advance(SETTLE_TIME);
        assertEquals(5, fixture.count("COMPLETED"));
    }

    @Test
    void requestWhoseTurnComesAfterItsDeadlineIsRejectedAtOnce() {
        fixture.notice = limited("2");
        run(1);
        fixture.advance(SETTLE_TIME);
        run(2);
        final AdmissionRequest last = fixture.request(0, 1, TrafficClass.NORMAL, "late", Duration.ofMillis(300));
        gate.acquire(last).test().assertError(error -> retryAfter(error).toMillis() > 300);
    }

    // Guards against DRAIN on the product's own interface: requests reach a target that has said that it leaves.
    @Test
    void targetThatSaysItLeavesGetsNoMoreRequestsUntilItStartsAnew() {
        fixture.notice = new TargetNotice(true, Optional.empty(), List.of());
        run(1);
        fixture.advance(SETTLE_TIME);
        final int before = fixture.engine(0).runs;
        run(3);
        fixture.advance(SETTLE_TIME);
        assertEquals(before, fixture.engine(0).runs);
        assertEquals(3, fixture.count("NO_TARGET"));
        fixture.notice = TargetNotice.NONE;
        fixture.engine(0).restart();
        fixture.advance(SETTLE_TIME);
        run(1);
        fixture.advance(SETTLE_TIME);
        assertEquals(before + 1, fixture.engine(0).runs);
    }

    // Guards against BUDGET on the product's own interface: requests reach a target in the time for which it wants
    // none.
    @Test
    void targetGetsNothingInItsPause() {
        fixture.notice = new TargetNotice(false, Optional.of("2.5"), List.of());
        fixture.rejecting = true;
        run(1);
        fixture.rejecting = false;
        final int before = fixture.engine(0).runs;
        for (int i = 0; i < 48; i++) {
            if (i % 10 == 0) {
                run(1);
            }
            fixture.advance(STEP);
        }
        assertEquals(before, fixture.engine(0).runs);
        fixture.advance(SETTLE_TIME);
        assertEquals(before + 2, fixture.engine(0).runs);
        assertEquals(3, fixture.count("OVERLOADED"));
    }

    @Test
    void timeToComeBackInASuccessIsNoPause() {
        fixture.notice = new TargetNotice(false, Optional.of("60"), List.of());
        run(1);
        fixture.advance(SETTLE_TIME);
        final int before = fixture.engine(0).runs;
        run(1);
        fixture.advance(SETTLE_TIME);
        assertEquals(before + 1, fixture.engine(0).runs);
    }

    private static Duration retryAfter(final Throwable error) {
        return ((BalsambankException) error).retryAfter().orElse(Duration.ZERO);
    }

    private static TargetNotice limited(final String perSecond) {
        return new TargetNotice(false, Optional.empty(), List.of(perSecond));
    }

    private void run(final int count) {
        for (int i = 0; i < count; i++) {
            fixture.run(gate, fixture.request(0, 1));
        }
    }
}
