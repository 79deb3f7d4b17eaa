package org.balsambank.core.serving.poison;

import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.fake.FakeDecisionLoop;
import org.balsambank.core.id.Fingerprint;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests when refused requests are tried. Virtual time, confined to one thread. */
final class RequestTrialsTest {
    private static final Fingerprint REQUEST = new Fingerprint("f1");

    private final TestScheduler clock = new TestScheduler();
    private final RequestTrials trials = new RequestTrials(new FakeDecisionLoop(clock).timer());

    @Test
    void trialsThatCrashTargetsAreDeferredAndAtMostThree() {
        crashTwice();
        final int[] delays = {2, 60, 600};
        for (final int delay : delays) {
            assertDueAfter(delay);
            trials.sent(REQUEST);
            trials.crashed(REQUEST);
        }
        advance(86_000);
        assertFalse(trials.claim(REQUEST, 0));
    }

    // Guards against trials that stop for good, as callers left before the responses to them.
    @Test
    void trialsWithoutOutcomeAreDeferredButGoOn() {
        crashTwice();
        final int[] delays = {2, 60, 600, 600, 600};
        for (final int delay : delays) {
            assertDueAfter(delay);
            trials.sent(REQUEST);
        }
    }

    @Test
    void trialThatItsTargetSurvivedDefersNothing() {
        crashTwice();
        assertDueAfter(2);
        trials.sent(REQUEST);
        trials.survived(REQUEST);
        assertDueAfter(2);
    }

    // Guards against a trial at each VM, as all of them get the request at the same moment.
    @Test
    void claimOfTheVmThatComesFirstWins() {
        crashTwice();
        advance(2);
        assertTrue(trials.claim(REQUEST, 3));
        assertFalse(trials.claim(REQUEST, 3));
        assertFalse(trials.claimedElsewhere(REQUEST, 4));
        assertFalse(trials.won(REQUEST));
        advance(2);
        assertTrue(trials.won(REQUEST));
        assertTrue(trials.claimedElsewhere(REQUEST, 1));
        assertFalse(trials.won(REQUEST));
        assertFalse(trials.claim(REQUEST, 3));
    }

    // Guards against trials that end for good, as the VM that claimed one gets no more requests.
    @Test
    void claimThatIsNotUsedExpires() {
        crashTwice();
        assertTrue(trials.claimedElsewhere(REQUEST, 1));
        advance(7);
        assertTrue(trials.claim(REQUEST, 3));
        advance(5);
        assertFalse(trials.won(REQUEST));
        assertTrue(trials.claim(REQUEST, 3));
    }

    @Test
    void trialOfAnotherVmEndsTheClaim() {
        crashTwice();
        advance(2);
        assertTrue(trials.claim(REQUEST, 3));
        assertTrue(trials.sentElsewhere(REQUEST));
        advance(2);
        assertFalse(trials.won(REQUEST));
    }

    // Guards against a report of one trial that counts again and again, as it goes round while the tree changes.
    @Test
    void repeatedReportOfATrialDoesNotCount() {
        crashTwice();
        advance(2);
        assertTrue(trials.sentElsewhere(REQUEST));
        assertFalse(trials.sentElsewhere(REQUEST));
        trials.crashed(REQUEST);
        assertFalse(trials.sentElsewhere(REQUEST));
        assertDueAfter(60);
    }

    // Guards against BUDGET: each start of a VM begins anew with the shortest delay.
    @Test
    void requestOfUnknownPastIsTriedAMinuteLater() {
        assertFalse(trials.claim(REQUEST, 0));
        assertDueAfter(60);
    }

    private void crashTwice() {
        trials.crashed(REQUEST);
        trials.crashed(REQUEST);
    }

    private void assertDueAfter(final int seconds) {
        advance(seconds - 1);
        assertFalse(trials.claim(REQUEST, 0));
        advance(1);
        assertTrue(trials.claim(REQUEST, 0));
        advance(2);
        assertTrue(trials.won(REQUEST));
    }

    private void advance(final int seconds) {
        clock.advanceTimeBy(seconds, TimeUnit.SECONDS);
    }
}
