package org.balsambank.core.serving.poison;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.fake.FakeDecisionLoop;
import org.balsambank.core.id.BootId;
import org.balsambank.core.id.PromptPartId;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.target.CrashId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the verdicts on parts of prompts. Confined to one thread. */
final class PromptPartTrackerTest {
    private static final PromptPartId PART = new PromptPartId("a1");
    private static final PromptPartId COMPANION = new PromptPartId("b2");
    private static final int MAX_PARTS = 2_000;

    private final PromptPartTracker tracker = tracker();

    @Test
    void twoSuccessiveCrashesOfResponsesThatHadBegunMakeASuspect() {
        lose(1, true, PART);
        assertFalse(refused(PART));
        lose(2, true, PART);
        assertTrue(refused(PART));
    }

    @Test
    void threeSuccessiveCrashesOfWaitingRequestsMakeASuspect() {
        lose(1, false, PART);
        lose(2, false, PART);
        assertFalse(refused(PART));
        lose(3, false, PART);
        assertTrue(refused(PART));
    }

    // Guards against a verdict on parts that were in flight when many targets were lost at the same moment.
    @Test
    void crashesOfRequestsSentAtTheSameMomentCountOnce() {
        final PromptPartTracker.Evidence atSend = tracker.evidence(List.of(PART));
        for (int target = 0; target < 20; target++) {
            tracker.recordLoss(List.of(PART), atSend, crash(target), true);
        }
        assertFalse(refused(PART));
    }

    // Guards against a verdict on requests that a target failed one after the other without a crash.
    @Test
    void lossesByOneRunOfATargetCountOnce() {
        for (int i = 0; i < 20; i++) {
            lose(1, true, PART);
        }
        assertFalse(refused(PART));
    }

    @Test
    void responseClearsAPart() {
        lose(1, true, PART);
        tracker.recordResponse(List.of(PART));
        lose(2, true, PART);
        assertFalse(refused(PART));
        lose(3, true, PART);
        assertTrue(refused(PART));
        tracker.recordResponse(List.of(PART));
        assertFalse(refused(PART));
    }

    @Test
    void requestWithOneOfTwoPossibleCausesIsSentAndShowsWhichOneItIs() {
        lose(1, true, PART, COMPANION);
        lose(2, true, PART, COMPANION);
        assertTrue(refused(PART, COMPANION));
        assertFalse(refused(COMPANION));
        assertFalse(refused(PART));
        tracker.recordResponse(List.of(COMPANION));
        assertTrue(refused(PART));
        assertFalse(refused(COMPANION));
    }

    // Guards against a verdict that ends, or memory that grows, as callers invent parts that are lost in crashes.
    @Test
    void manyLostPartsNeitherFillTheMemoryNorPushOutASuspect() {
        lose(1, true, PART);
        lose(2, true, PART);
        for (int i = 0; i < 3 * MAX_PARTS; i++) {
            lose(3 + i, true, new PromptPartId("e" + i));
        }
        assertTrue(refused(PART));
        assertTrue(
                tracker.parts().size() <= MAX_PARTS, "parts " + tracker.parts().size());
    }

    @Test
    void onlyTheFirstPartsOfALongPromptAreTracked() {
        final List<PromptPartId> parts = IntStream.range(0, 1_000)
                .mapToObj(i -> new PromptPartId("e" + i))
                .toList();
        tracker.recordLoss(parts, PromptPartTracker.Evidence.EMPTY, crash(1), true);
        assertEquals(32, tracker.parts().size());
    }

    // Guards against VMs that disagree on a part after a response and a crash were told in different orders.
    @Test
    void reportsLeadToTheSameEvidenceInAnyOrder() {
        final PromptPartTracker other = tracker();
        lose(1, true, PART);
        other.recordReport(tracker.report(PART).orElseThrow());
        lose(2, true, PART);
        other.recordResponse(List.of(PART));
        final var suspect = tracker.report(PART).orElseThrow();
        final var cleared = other.report(PART).orElseThrow();
        assertTrue(tracker.recordReport(cleared));
        assertFalse(other.recordReport(suspect));
        assertFalse(refused(PART));
        assertEquals(tracker.report(PART), other.report(PART));
    }

    private static PromptPartTracker tracker() {
        return new PromptPartTracker(new FakeDecisionLoop(new TestScheduler()).timer(), part -> true, DecisionLog.NONE);
    }

    /** Loses a request that was sent after all earlier crashes were known. */
    private void lose(final int target, final boolean begun, final PromptPartId... parts) {
        final List<PromptPartId> list = List.of(parts);
        tracker.recordLoss(list, tracker.evidence(list), crash(target), begun);
    }

    private boolean refused(final PromptPartId... parts) {
        final List<PromptPartId> all = new ArrayList<>(List.of(parts));
        all.add(new PromptPartId("ff"));
        return !tracker.findCauses(all).isEmpty();
    }

    private static CrashId crash(final int target) {
        return new CrashId(new TargetId("t" + target), new BootId("1"));
    }
}
