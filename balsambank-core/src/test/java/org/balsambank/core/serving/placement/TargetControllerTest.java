package org.balsambank.core.serving.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.id.AdapterId;
import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.serving.plan.EngineSpec;
import org.balsambank.core.serving.plan.MemorySize;
import org.balsambank.core.serving.plan.ModelSpec;
import org.balsambank.core.serving.target.InFlightRequests;
import org.balsambank.core.serving.target.TargetAnnouncement;
import org.balsambank.core.time.SchedulerTimerService;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the control of one target, in virtual time. Confined to one thread. */
final class TargetControllerTest {
    private static final BaseModel MODEL = new BaseModel("m");
    private static final int ADAPTER_SLOTS = 6;
    private static final Duration STEP = Duration.ofMillis(25);

    private final TestScheduler clock = new TestScheduler();
    private final InFlightRequests inFlight = new InFlightRequests();
    private final ResidencyTable residency = new ResidencyTable();
    private final List<ResidencyResult> results = new ArrayList<>();

    @Test
    void loadsRequestedAdaptersAndEvictsUnusedOnes() {
        final FakeTarget target = new FakeTarget(clock, 1, ADAPTER_SLOTS, MODEL);
        final TargetController controller = controller(target);
        run(target, controller, 40);
        for (int i = 0; i < 2 * ADAPTER_SLOTS; i++) {
            ensure(controller, i, 0, 10_000);
            run(target, controller, 60);
        }
        assertEquals(
                2 * ADAPTER_SLOTS,
                results.stream().filter(ResidencyResult::resident).count());
        assertEquals(0, target.overflows());
    }

    @Test
    void neverUnloadsAdaptersInUse() {
        final FakeTarget target = new FakeTarget(clock, 1, ADAPTER_SLOTS, MODEL);
        final TargetController controller = controller(target);
        run(target, controller, 40);
        for (int i = 0; i < ADAPTER_SLOTS; i++) {
            ensure(controller, i, 0, 10_000);
            inFlight.begin(new TargetId("t"), 10, Optional.of(adapter(i)));
            run(target, controller, 60);
        }
        ensure(controller, ADAPTER_SLOTS, 0, 2_000);
        run(target, controller, 200);
        assertEquals(
                ADAPTER_SLOTS,
                results.stream().filter(ResidencyResult::resident).count());
        assertEquals(ADAPTER_SLOTS, target.resident().size());
        assertEquals(1, results.stream().filter(result -> !result.resident()).count());
    }

    @Test
    void loadsANewerVersion() {
        final FakeTarget target = new FakeTarget(clock, 1, ADAPTER_SLOTS, MODEL);
        final TargetController controller = controller(target);
        run(target, controller, 40);
        ensure(controller, 1, 0, 5_000);
        run(target, controller, 60);
        ensure(controller, 1, 7, 5_000);
        run(target, controller, 60);
        assertEquals(7, results.get(1).version());
    }

    @Test
    void delayedOrdersNeverExceedTheAdapterSlots() {
        for (int seed = 0; seed < 150; seed++) {
            final SplittableRandom random = new SplittableRandom(seed);
            final FakeTarget target = new FakeTarget(clock, seed, ADAPTER_SLOTS, MODEL);
            final TargetController controller = controller(target);
            target.delayOrders(0.2 + 0.4 * random.nextDouble());
            for (int i = 0; i < 60; i++) {
                ensure(controller, random.nextInt(25), random.nextInt(8) == 0 ? 1 + i / 20 : 0, 1_500);
                run(target, controller, 1 + random.nextInt(30));
            }
            assertEquals(0, target.overflows(), "seed " + seed);
        }
        assertTrue(results.stream().anyMatch(ResidencyResult::resident));
    }

    // Guards against LIMIT: a copy of an earlier acceptance or report makes the VM order more than the target holds.
    @Test
    void copiesOfResponsesNeverExceedTheAdapterSlots() {
        for (int seed = 0; seed < 150; seed++) {
            final SplittableRandom random = new SplittableRandom(seed);
            final FakeTarget target = new FakeTarget(clock, seed, ADAPTER_SLOTS, MODEL);
            final TargetController controller = controller(target);
            target.copyResponses(0.3 + 0.5 * random.nextDouble());
            target.delayOrders(0.2 * random.nextDouble());
            for (int i = 0; i < 60; i++) {
                ensure(controller, random.nextInt(25), random.nextInt(8) == 0 ? 1 + i / 20 : 0, 1_500);
                run(target, controller, 1 + random.nextInt(30));
                if (random.nextInt(4) == 0) {
                    target.drop(adapter(random.nextInt(25)));
                }
            }
            assertEquals(0, target.overflows(), "seed " + seed);
        }
        assertTrue(results.stream().anyMatch(ResidencyResult::resident));
    }

    // Guards against an adapter that counts as being loaded, on the strength of a copy, after the target was asked
    // again.
    @Test
    void adapterIsLoadedAfterACopyOfAnAcceptanceHidItsLoss() {
        final FakeTarget target = new FakeTarget(clock, 1, ADAPTER_SLOTS, MODEL);
        final TargetController controller = controller(target);
        run(target, controller, 40);
        ensure(controller, 1, 0, 10_000);
        run(target, controller, 2);
        target.drop(adapter(1));
        target.copyResponses(1);
        run(target, controller, 40);
        assertEquals(0, results.stream().filter(ResidencyResult::resident).count());
        ensure(controller, 1, 0, 10_000);
        run(target, controller, 40);
        assertEquals(1, results.stream().filter(ResidencyResult::resident).count());
        assertTrue(target.resident().contains(adapter(1)));
    }

    @Test
    void rejectedOrdersAreNotRepeatedInALoop() {
        final FakeTarget target = new FakeTarget(clock, 3, ADAPTER_SLOTS, MODEL);
        final TargetController controller = controller(target);
        run(target, controller, 40);
        target.delayOrders(1);
        for (int i = 0; i < 20; i++) {
            ensure(controller, i, 0, 5_000);
        }
        final int before = target.orderCount();
        run(target, controller, 200);
        assertTrue(target.orderCount() - before <= 12, "orders in 5 s: " + (target.orderCount() - before));
    }

    // Guards against a target that is emptied for one adapter, since the place of an accepted unload is not free at
    // once,
    // and against a place that stays unused for seconds after its unload has ended.
    @Test
    void oneAdapterIsEvictedForOneAndLoadedSoonAfterTheUnload() {
        final FakeTarget target = new FakeTarget(clock, 1, ADAPTER_SLOTS, MODEL);
        final TargetController controller = controller(target);
        run(target, controller, 40);
        for (int i = 0; i < ADAPTER_SLOTS; i++) {
            ensure(controller, i, 0, 10_000);
            run(target, controller, 60);
        }
        target.setUnloadMillis(100);
        ensure(controller, ADAPTER_SLOTS, 0, 10_000);
        run(target, controller, 50);
        assertEquals(1, target.unloadCount());
        assertEquals(
                ADAPTER_SLOTS + 1,
                results.stream().filter(ResidencyResult::resident).count());
        assertEquals(ADAPTER_SLOTS, target.resident().size());
        assertEquals(0, target.overflows());
    }

    // Guards against requests that wait one after the other for adapters at a target that does not respond.
    @Test
    void targetThatDoesNotRespondIsReportedAndRefusesDemandsAtOnce() {
        final FakeTarget target = new FakeTarget(clock, 1, ADAPTER_SLOTS, MODEL);
        final TargetController controller = controller(target);
        run(target, controller, 40);
        ensure(controller, 1, 0, 1_000);
        run(target, controller, 40);
        target.setSilent(true);
        ensure(controller, 2, 0, 1_000);
        run(target, controller, 80);
        assertFalse(residency.of(controller.target()).responsive());
        final int before = results.size();
        ensure(controller, 3, 0, 1_000);
        assertEquals(before + 1, results.size());
        assertFalse(results.get(before).resident());
        target.setSilent(false);
        run(target, controller, 80);
        assertTrue(residency.of(controller.target()).responsive());
        ensure(controller, 4, 0, 1_000);
        run(target, controller, 60);
        assertTrue(results.get(before + 1).resident());
    }

    // Guards against a target whose other loads stand still while one order or one repeated load has no response.
    @Test
    void mostAdaptersAreLoadedInTimeWhileAThirdOfTheOrdersGetNoResponse() {
        for (int seed = 0; seed < 40; seed++) {
            final SplittableRandom random = new SplittableRandom(seed);
            final FakeTarget target = new FakeTarget(clock, seed, ADAPTER_SLOTS, MODEL);
            final TargetController controller = controller(target);
            run(target, controller, 40);
            target.setResponseTimeoutMillis(200);
            target.delayOrders(0.35);
            for (int i = 0; i < 30; i++) {
                ensure(controller, random.nextInt(400), 0, 1_000);
                run(target, controller, 16);
            }
            run(target, controller, 80);
            assertEquals(0, target.overflows(), "seed " + seed);
        }
        final long resident = results.stream().filter(ResidencyResult::resident).count();
        assertTrue(resident >= 0.6 * results.size(), resident + " of " + results.size());
    }

    private void ensure(
            final TargetController controller, final int number, final long version, final long waitMillis) {
        controller
                .ensure(adapter(number), version, false, Duration.ofMillis(waitMillis))
                .subscribe(result -> results.add(result));
    }

    private static AdapterKey adapter(final int number) {
        return new AdapterKey(MODEL, new AdapterId("a" + number));
    }

    private static void run(final FakeTarget target, final TargetController controller, final int steps) {
        for (int i = 0; i < steps; i++) {
            controller.step();
            target.advance(STEP);
        }
    }

    private TargetController controller(final FakeTarget target) {
        final TargetAnnouncement announcement = new TargetAnnouncement(
                new TargetId("t"),
                new ServiceName("s"),
                "127.0.0.1",
                1,
                new FailureDomain("d"),
                64,
                false,
                0,
                1,
                List.of(MODEL),
                Map.of());
        final EngineSpec engineSpec = new EngineSpec(
                64,
                100_000,
                ADAPTER_SLOTS,
                MemorySize.available(1_000),
                4,
                List.of(new ModelSpec(MODEL, MemorySize.needed(900), MemorySize.needed(10), 1_000)));
        return new TargetController(
                announcement,
                new PermanentClaim(5),
                () -> Optional.of(engineSpec),
                target,
                inFlight,
                residency,
                SchedulerTimerService.ofVirtual(clock),
                DecisionLog.NONE);
    }
}
