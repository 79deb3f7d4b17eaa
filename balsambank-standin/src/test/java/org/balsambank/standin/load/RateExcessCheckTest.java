package org.balsambank.standin.load;

import java.util.ArrayList;
import java.util.List;

import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.catalogue.RateUnit;
import org.balsambank.standin.load.RateExcessCheck.RequestInterval;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests the excess over rate and burst in the worst window. */
class RateExcessCheckTest {
    private static final long SECOND = 1_000_000_000L;
    private static final double TOLERANCE = 1e-6;

    private final RateExcessCheck check = new RateExcessCheck(new RateLimit(RateUnit.REQUESTS, 1, 2));

    @Test
    void reportsNoExcessWithinRateAndBurst() {
        final List<RequestInterval> served = new ArrayList<>();
        served.add(new RequestInterval(0, 0, 1));
        served.add(new RequestInterval(0, 0, 1));
        for (int i = 1; i < 10; i++) {
            served.add(new RequestInterval(i * SECOND, i * SECOND, 1));
        }
        assertEquals(0, check.maxExcess(served), TOLERANCE);
    }

    @Test
    void reportsRequestsAboveTheBurst() {
        final List<RequestInterval> served = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            served.add(new RequestInterval(9 * SECOND, 9 * SECOND, 1));
        }
        assertEquals(3, check.maxExcess(served), TOLERANCE);
    }

    @Test
    void findsWorstWindowInTheMiddle() {
        final List<RequestInterval> served = new ArrayList<>();
        served.add(new RequestInterval(0, 0, 1));
        for (int i = 0; i < 4; i++) {
            served.add(new RequestInterval(50 * SECOND, 51 * SECOND, 1));
        }
        served.add(new RequestInterval(100 * SECOND, 100 * SECOND, 1));
        assertEquals(1, check.maxExcess(served), TOLERANCE);
    }

    @Test
    void ignoresRequestsThatMayHaveRunOutsideTheWindow() {
        final List<RequestInterval> served = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            served.add(new RequestInterval(0, 10 * SECOND, 1));
        }
        assertEquals(0, check.maxExcess(served), TOLERANCE);
    }
}
