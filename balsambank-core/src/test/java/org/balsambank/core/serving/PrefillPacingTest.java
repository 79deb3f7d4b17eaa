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
 * Tests requests that are delayed until their target has few enough pending prompt tokens, in virtual time.
 *
 * <p>Many prompts for one adapter arrive at once, and it is resident at only one target. Confined to one thread.
 */
final class PrefillPacingTest {
    private static final int PROMPTS = 8;
    private static final long PROMPT_TOKENS = 2_400;
    private static final double TOKENS_PER_MILLI = 19.2;
    private static final long CLOCK_TICK_MILLIS = 5;
    /**
     * The most prompt tokens that may be pending at a target. Two engine steps, each with 12 ms besides prompt
     * processing, must fit into 400 ms, the longest pause allowed.
     */
    private static final long MAX_PENDING_TOKENS = Math.round((400 - 2 * 12) / 2 * TOKENS_PER_MILLI);

    private final TestFleet fleet = new TestFleet(1, 1);
    private final List<FakeCaller> callers = new ArrayList<>();

    PrefillPacingTest() {
        call();
        fleet.advance(1_000);
        fleet.lastAttempt().respond(200, false);
        fleet.attempts.clear();
    }

    @Test
    void targetNeverHasMorePendingTokensThanFitIntoAPause() {
        for (int i = 0; i < PROMPTS; i++) {
            call();
        }
        int answered = 0;
        double processedTokens = 0;
        long millis = 0;
        while (answered < PROMPTS && millis < 5_000) {
            final long pending = (fleet.attempts.size() - answered) * PROMPT_TOKENS - Math.round(processedTokens);
            assertTrue(pending <= MAX_PENDING_TOKENS, pending + " pending tokens after " + millis + " ms");
            fleet.advance(CLOCK_TICK_MILLIS);
            millis += CLOCK_TICK_MILLIS;
            processedTokens =
                    fleet.attempts.size() > answered ? processedTokens + CLOCK_TICK_MILLIS * TOKENS_PER_MILLI : 0;
            if (processedTokens >= PROMPT_TOKENS) {
                processedTokens -= PROMPT_TOKENS;
                fleet.attempts.get(answered++).startResponse();
            }
        }
        assertEquals(PROMPTS, answered);
        final double unpacedMillis = PROMPTS * PROMPT_TOKENS / TOKENS_PER_MILLI;
        assertTrue(
                millis <= unpacedMillis * 1.1, "processed after " + millis + " ms, if sent at once " + unpacedMillis);
    }

    @Test
    void requestOfDisconnectedCallerDoesNotDelayOthers() {
        call();
        final FakeCaller waiting = call();
        waiting.request.callerGone();
        fleet.lastAttempt().respond(200, false);
        fleet.advance(1_000);
        assertEquals(1, fleet.attempts.size());
        call();
        assertEquals(2, fleet.attempts.size());
    }

    @Test
    void delayedRequestIsNotSentToATargetThatStartsToShutDown() {
        call();
        call();
        fleet.announce(fleet.engineTarget(0, 1, /* draining= */ true));
        fleet.advance(2_000);
        assertEquals(1, fleet.attempts.size());
        assertEquals(ErrorKind.NO_TARGET, callers.get(callers.size() - 1).rejection());
    }

    @Test
    void delayedRequestWithWithdrawnKeyIsRejectedAndDoesNotDelayOthers() {
        call();
        call();
        fleet.writePlan(2, List.of("another-key"), 1_000_000);
        fleet.advance(1_000);
        assertEquals(1, fleet.attempts.size());
        fleet.lastAttempt().respond(200, false);
        fleet.writePlan(3, List.of(TestFleet.KEY), 1_000_000);
        fleet.advance(1_000);
        call();
        assertEquals(2, fleet.attempts.size());
        assertEquals(new TargetId("t0"), fleet.lastAttempt().target());
    }

    private FakeCaller call() {
        final FakeCaller caller =
                fleet.sendRequest(TestFleet.vm(0), "/stream/", Optional.of(TestFleet.adapter(1)), PROMPT_TOKENS);
        callers.add(caller);
        return caller;
    }
}
