package org.balsambank.core.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.TargetId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests requests that wait until their target has few enough prompt tokens to read, in virtual time.
 *
 * <p>The load pattern: many prompts for one adapter come at once, to the only target that holds it. Confined to one
 * thread.
 */
final class PrefillPacingTest {
    private static final int PROMPTS = 8;
    private static final long TOKENS = 2_400;
    private static final double READ_PER_MILLI = 19.2;
    private static final long STEP_MILLIS = 5;
    /** What a target reads within a pause of 400 ms that spans two of its steps of 12 ms without reading. */
    private static final long MOST_TOKENS = Math.round((400 - 2 * 12) / 2 * READ_PER_MILLI);

    private final TestFleet fleet = new TestFleet(1, 1);
    private final List<FakeCaller> callers = new ArrayList<>();

    PrefillPacingTest() {
        call();
        fleet.advance(1_000);
        fleet.lastSend().answer(200, false);
        fleet.sends.clear();
    }

    @Test
    void aTargetNeverHasMoreToReadThanItCanWithinAPause() {
        for (int i = 0; i < PROMPTS; i++) {
            call();
        }
        int begun = 0;
        double readAhead = 0;
        long millis = 0;
        while (begun < PROMPTS && millis < 5_000) {
            final long unread = (fleet.sends.size() - begun) * TOKENS - Math.round(readAhead);
            assertTrue(unread <= MOST_TOKENS, unread + " tokens to read after " + millis + " ms");
            fleet.advance(STEP_MILLIS);
            millis += STEP_MILLIS;
            readAhead = fleet.sends.size() > begun ? readAhead + STEP_MILLIS * READ_PER_MILLI : 0;
            if (readAhead >= TOKENS) {
                readAhead -= TOKENS;
                fleet.sends.get(begun++).begin();
            }
        }
        assertEquals(PROMPTS, begun);
        final double atOnce = PROMPTS * TOKENS / READ_PER_MILLI;
        assertTrue(millis <= atOnce * 1.1, "read after " + millis + " ms, if sent at once " + atOnce);
    }

    @Test
    void aCallerThatLeavesMeanwhileTakesNoPlace() {
        call();
        final FakeCaller waiting = call();
        waiting.run.callerGone();
        fleet.lastSend().answer(200, false);
        fleet.advance(1_000);
        assertEquals(1, fleet.sends.size());
        call();
        assertEquals(2, fleet.sends.size());
    }

    @Test
    void nothingGoesToATargetThatBeginsToLeaveMeanwhile() {
        call();
        call();
        fleet.announce(fleet.engine(0, 1, true));
        fleet.advance(2_000);
        assertEquals(1, fleet.sends.size());
        assertEquals(ErrorKind.NO_TARGET, callers.get(callers.size() - 1).refusal());
    }

    @Test
    void aKeyThatIsWithdrawnMeanwhileIsRefusedAndTakesNoPlace() {
        call();
        call();
        fleet.plan(2, List.of("another-key"), 1_000_000);
        fleet.advance(1_000);
        assertEquals(1, fleet.sends.size());
        fleet.lastSend().answer(200, false);
        fleet.plan(3, List.of(TestFleet.KEY), 1_000_000);
        fleet.advance(1_000);
        call();
        assertEquals(2, fleet.sends.size());
        assertEquals(new TargetId("t0"), fleet.lastSend().target());
    }

    private FakeCaller call() {
        final FakeCaller caller = fleet.call(TestFleet.vm(0), "/stream/", Optional.of(TestFleet.adapter(1)), TOKENS);
        callers.add(caller);
        return caller;
    }
}
