package org.balsambank.core.serving.fleet;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.fake.FakeDecisionLoop;
import org.balsambank.core.id.VmId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.serving.BrokenRuns;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests how {@link TargetCrashTracker} reads the reports of other VMs. Virtual time, confined to one thread. */
final class TargetCrashTrackerTest {
    private final TimerService timer = new FakeDecisionLoop(new TestScheduler()).timer();
    private final TargetCrashTracker tracker = new TargetCrashTracker(
            timer, new FleetMembers(new VmId("vm-1"), timer, DecisionLog.NONE), DecisionLog.NONE);

    // Guards against a digest that is not applied, as a report in it can't be read.
    @ParameterizedTest
    @ValueSource(strings = {"claim:", "claim:x", "claim:1.5", "claim:-1", "claim:99999999999", "claim", "tried", ""})
    void reportThatCannotBeReadIsIgnored(final String word) {
        assertFalse(tracker.recordReport(report(word), true));
    }

    @Test
    void claimsOfVmsThatComeFirstAreNewsOnce() {
        assertTrue(tracker.recordReport(report("claim:2"), true));
        assertFalse(tracker.recordReport(report("claim:2"), true));
        assertTrue(tracker.recordReport(report("claim:0"), true));
        assertFalse(tracker.recordReport(report("claim:2"), true));
    }

    private static BrokenRuns report(final String word) {
        return BrokenRuns.newBuilder().setFingerprint("f1").setBoot(word).build();
    }
}
