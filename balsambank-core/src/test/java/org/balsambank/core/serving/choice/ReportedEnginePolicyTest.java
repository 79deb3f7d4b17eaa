package org.balsambank.core.serving.choice;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.fake.FakeDecisionLoop;
import org.balsambank.core.id.AdapterId;
import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.serving.admission.FleetView;
import org.balsambank.core.serving.admission.SendPermits;
import org.balsambank.core.serving.load.ReportedLoads;
import org.balsambank.core.serving.load.ServerLoad;
import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.placement.ResidencyTable;
import org.balsambank.core.serving.placement.TargetResidency;
import org.balsambank.core.serving.plan.EngineSpec;
import org.balsambank.core.serving.plan.MemorySize;
import org.balsambank.core.serving.plan.ServiceSpec;
import org.balsambank.core.serving.target.InFlightRequests;
import org.balsambank.core.serving.target.TargetAnnouncement;
import org.balsambank.core.serving.target.TargetLimits;
import org.balsambank.core.serving.target.TargetPerformance;
import org.balsambank.core.serving.target.TargetTable;
import org.balsambank.core.time.TimerService;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the choice of engines that report their load. Confined to one thread. */
final class ReportedEnginePolicyTest {
    private static final ServiceName SERVICE = new ServiceName("s");
    private static final BaseModel MODEL = new BaseModel("m");
    private static final int TARGETS = 10;
    private static final int TRIALS = 200;

    private final TestScheduler clock = new TestScheduler();
    private final TimerService timer = new FakeDecisionLoop(clock).timer();
    private final TargetTable table = new TargetTable(timer, DecisionLog.NONE);
    private final ReportedLoads loads = new ReportedLoads(table, timer);
    private final ResidencyTable residency = new ResidencyTable();
    private final InFlightRequests inFlight = new InFlightRequests();
    private final AdapterWaits waits = new AdapterWaits(timer);
    private final ServiceSpec spec =
            new ServiceSpec(SERVICE, 0, 0, 0, Optional.of(new EngineSpec(64, 0, 6, MemorySize.ZERO, 0, List.of())));
    private final ReportedEnginePolicy policy = new ReportedEnginePolicy(
            new EngineEstimate(
                    UsageView.of(inFlight),
                    inFlight,
                    residency,
                    target -> false,
                    new TargetPerformance(timer::nanoTime),
                    new EngineLatencyModels(),
                    new SendPermits(new TargetLimits(table, timer, DecisionLog.NONE), new OneVm(), timer),
                    Optional.of(waits)),
            loads,
            new SampledSelection(2, new SplittableRandom(5)),
            timer);

    ReportedEnginePolicyTest() {
        for (int i = 0; i < TARGETS; i++) {
            table.recordAnnouncement(announcement(i), i + 1);
        }
    }

    // Guards against prompts that are sent to a slow target while others are as idle.
    @Test
    void slowTargetIsPassedOverWhileItsReportIsFresh() {
        report(0, 0, 250);
        assertTrue(countOf(0, Optional.empty()) < TRIALS / TARGETS / 2);
        clock.advanceTimeBy(5, TimeUnit.SECONDS);
        assertTrue(countOf(0, Optional.empty()) > TRIALS / TARGETS / 2);
    }

    // Guards against more prompts for a target that has just turned one away and told its queue.
    @Test
    void targetWithAQueueIsPassedOver() {
        report(0, 8, 100);
        assertTrue(countOf(0, Optional.empty()) < TRIALS / TARGETS / 2);
    }

    // Guards against loads from the shared store for adapters that a target holds.
    @Test
    void residentAdapterIsUsed() {
        final AdapterKey adapter = adapter(1);
        hold(3, adapter);
        assertEquals(TRIALS, countOf(3, Optional.of(adapter)));
    }

    // Guards against herding at one of the targets that hold an adapter.
    @Test
    void requestsAreSpreadOverTheTargetsThatHoldTheAdapter() {
        final AdapterKey adapter = adapter(1);
        for (int i = 0; i < 4; i++) {
            hold(i, adapter);
        }
        for (int i = 0; i < 4; i++) {
            assertTrue(countOf(i, Optional.of(adapter)) > TRIALS / 10);
        }
    }

    // Guards against a hot adapter that stays at one target, and rare ones that are loaded at many.
    @Test
    void hotAdapterHasMoreHomesThanRareOnes() {
        final AdapterShares shares = new AdapterShares(timer);
        for (int i = 0; i < 100; i++) {
            shares.record(adapter(i % 2 == 0 ? 1 : 2 + i), 1_000);
        }
        final int hot = shares.homes(adapter(1), TARGETS);
        assertTrue(hot >= 4 && hot <= 6, "homes " + hot);
        assertEquals(1, shares.homes(adapter(3), TARGETS));
        assertEquals(1, shares.homes(adapter(1_000), TARGETS));
        clock.advanceTimeBy(200, TimeUnit.SECONDS);
        shares.record(adapter(2), 1_000);
        assertEquals(1, shares.homes(adapter(1), TARGETS));
    }

    // Guards against requests that wait one after another for loads at a silent target, as it looks idle.
    @Test
    void targetThatLoadsNothingInTimeGetsNoLoads() {
        for (int i = 2; i < 42; i++) {
            choose(Optional.of(adapter(i)));
        }
        final AdapterKey adapter = adapter(1);
        final TargetId home = choose(Optional.of(adapter)).target().id();
        waits.failed(home);
        assertFalse(choose(Optional.of(adapter)).target().id().equals(home));
        clock.advanceTimeBy(300, TimeUnit.MILLISECONDS);
        assertEquals(home, choose(Optional.of(adapter)).target().id());
    }

    // Guards against requests that are refused because loads are late everywhere.
    @Test
    void requestIsSentAlthoughAllTargetsAreAvoided() {
        for (int i = 0; i < TARGETS; i++) {
            waits.failed(new TargetId("t" + i));
        }
        assertTrue(choose(Optional.of(adapter(1))).needsLoad());
    }

    private int countOf(final int target, final Optional<AdapterKey> adapter) {
        int count = 0;
        for (int i = 0; i < TRIALS; i++) {
            count += choose(adapter).target().id().equals(new TargetId("t" + target)) ? 1 : 0;
        }
        return count;
    }

    private TargetChoice choose(final Optional<AdapterKey> adapter) {
        final TargetRequirements required =
                new TargetRequirements(spec, Optional.empty(), adapter, 1_500, 100, 1_000, 0);
        return policy.choose(required, table.usable(SERVICE)).orElseThrow();
    }

    private void report(final int target, final int waiting, final int pace) {
        loads.record(announcement(target), new ServerLoad(5, waiting, 64, OptionalInt.of(pace)), timer.nanoTime());
    }

    private void hold(final int target, final AdapterKey adapter) {
        residency.recordReport(
                new TargetId("t" + target), new TargetResidency(1, 1, Map.of(adapter, 1L), Set.of(), Set.of(), true));
    }

    private static AdapterKey adapter(final int number) {
        return new AdapterKey(MODEL, new AdapterId("a" + number));
    }

    private static TargetAnnouncement announcement(final int number) {
        return new TargetAnnouncement(
                new TargetId("t" + number),
                SERVICE,
                "127.0.0.1",
                1,
                new FailureDomain("d"),
                64,
                false,
                0,
                1,
                List.of(MODEL),
                Map.of());
    }

    /** A fleet of one VM. */
    private static final class OneVm implements FleetView {
        @Override
        public int vms() {
            return 1;
        }

        @Override
        public int reachableVms() {
            return 1;
        }

        @Override
        public int rank(final TargetId target) {
            return 0;
        }
    }
}
