package org.balsambank.core.serving.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Supplier;

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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the control of one target whose memory holds fewer adapters than it has slots. Confined to one thread. */
final class TargetMemoryTest {
    private static final BaseModel MODEL = new BaseModel("m");
    private static final BaseModel OTHER_MODEL = new BaseModel("o");
    private static final double MODEL_MEGABYTES = 900;
    private static final int ADAPTER_SLOTS = 6;
    private static final int SEEDS = 50;
    private static final long LONG_WAIT_MILLIS = 10_000;
    private static final Duration STEP = Duration.ofMillis(25);

    private final TestScheduler clock = new TestScheduler();
    private final InFlightRequests inFlight = new InFlightRequests();
    private final ResidencyTable residency = new ResidencyTable();
    private final List<ResidencyResult> results = new ArrayList<>();

    // Guards against LIMIT: a target is ordered to load adapters into its free slots that its memory does not hold, and
    // against the opposite, memory that is left free though adapters fit exactly.
    @ParameterizedTest
    @CsvSource({"264, 66, 4", "300, 66, 4", "263.999999, 66, 3", "0.3, 0.1, 3", "66, 66, 1", "9000, 66, 6"})
    void memoryIsFilledAndNeverExceeded(final double room, final double adapterMegabytes, final int fitting) {
        final EngineSpec spec = spec(MODEL_MEGABYTES + room, adapterMegabytes);
        final FakeTarget target = target(1, spec);
        final TargetController controller = controller(target, spec, 5);
        run(target, controller, 40);
        int most = 0;
        for (int i = 0; i < 2 * ADAPTER_SLOTS; i++) {
            ensure(controller, i, 0);
            run(target, controller, 60);
            most = Math.max(most, target.resident().size());
        }
        assertEquals(0, target.overflows());
        assertEquals(fitting, most);
        assertEquals(2 * ADAPTER_SLOTS, residentResults());
    }

    // Guards against LIMIT when many adapters are wanted at once, some in newer versions beside those in use, and
    // orders
    // get no response and are executed late.
    @Test
    void delayedOrdersNeverExceedTheMemory() {
        for (int seed = 0; seed < SEEDS; seed++) {
            final SplittableRandom random = new SplittableRandom(seed);
            final EngineSpec spec = spec(MODEL_MEGABYTES + 66 * (1 + random.nextInt(ADAPTER_SLOTS)), 66);
            final FakeTarget target = target(seed, spec);
            final TargetController controller = controller(target, spec, 5);
            target.delayOrders(0.4 * random.nextDouble());
            for (int i = 0; i < 60; i++) {
                ensure(controller, random.nextInt(25), random.nextInt(8) == 0 ? 1 + i / 20 : 0);
                run(target, controller, 1 + random.nextInt(30));
            }
            assertEquals(0, target.overflows(), "seed " + seed);
        }
        assertTrue(residentResults() > 0);
    }

    // Guards against LIMIT when the holder of a target is killed during loads, and its last orders are executed late.
    @Test
    void nextHolderNeverExceedsTheMemory() {
        for (int seed = 0; seed < SEEDS; seed++) {
            final SplittableRandom random = new SplittableRandom(seed);
            final EngineSpec spec = spec(MODEL_MEGABYTES + 66 * (1 + random.nextInt(ADAPTER_SLOTS)), 66);
            final FakeTarget target = target(seed, spec);
            target.delayOrders(0.3);
            for (int holder = 0; holder < 6; holder++) {
                final TargetController controller = controller(target, spec, 5 + holder);
                for (int i = 0; i < 10; i++) {
                    ensure(controller, random.nextInt(25), 0);
                    run(target, controller, 1 + random.nextInt(40));
                }
            }
            assertEquals(0, target.overflows(), "seed " + seed);
        }
        assertTrue(residentResults() > 0);
    }

    // Guards against LIMIT after a configuration leaves less memory than the target's adapters take.
    @Test
    void smallerMemoryIsKeptFromTheNextLoadOn() {
        for (int seed = 0; seed < SEEDS; seed++) {
            final SplittableRandom random = new SplittableRandom(seed);
            final EngineSpec[] spec = {spec(MODEL_MEGABYTES + 66 * ADAPTER_SLOTS, 66)};
            final FakeTarget target = target(seed, spec[0]);
            final TargetController controller = controller(target, () -> Optional.of(spec[0]), 5);
            target.delayOrders(0.2 * random.nextDouble());
            run(target, controller, 40);
            for (int i = 0; i < ADAPTER_SLOTS; i++) {
                ensure(controller, i, 0);
            }
            run(target, controller, 400);
            spec[0] = spec(MODEL_MEGABYTES + 66 * 2, 66);
            // An order that was sent before may still be executed.
            run(target, controller, 600);
            target.setSpec(spec[0]);
            for (int i = 0; i < 20; i++) {
                ensure(controller, random.nextInt(25), 0);
                run(target, controller, 1 + random.nextInt(30));
            }
            assertEquals(0, target.overflows(), "seed " + seed);
        }
        assertTrue(residentResults() > 0);
    }

    // Guards against requests that wait for an adapter that the target can never hold.
    @Test
    void adapterThatNeverFitsIsRefusedAtOnceAndNotOrdered() {
        final EngineSpec spec = spec(MODEL_MEGABYTES + 60, 66);
        final FakeTarget target = target(1, spec);
        final TargetController controller = controller(target, spec, 5);
        run(target, controller, 40);
        ensure(controller, 1, 0);
        assertEquals(1, results.size());
        assertEquals(0, residentResults());
        run(target, controller, 60);
        assertEquals(0, target.orderCount());
    }

    // Guards against LIMIT: an empty target is ordered to load a base model that is larger than its memory.
    @Test
    void baseModelThatDoesNotFitIsNotOrdered() {
        final EngineSpec spec = spec(500, List.of(model(MODEL, MODEL_MEGABYTES, 66), model(OTHER_MODEL, 400, 66)));
        final FakeTarget target = emptyTarget(1, spec);
        final TargetController controller = controller(target, spec, 5);
        ensure(controller, 1, 0);
        run(target, controller, 200);
        assertEquals(List.of(OTHER_MODEL), List.copyOf(target.models()));
        assertEquals(0, target.overflows());
    }

    // Guards against LIMIT: the order for a base model gets no response, another model is ordered instead, and the
    // target
    // executes both.
    @Test
    void delayedOrdersNeverLoadTwoBaseModelsWhereOneFits() {
        final EngineSpec spec = spec(500, List.of(model(MODEL, 400, 10), model(OTHER_MODEL, 400, 10)));
        for (int seed = 0; seed < SEEDS; seed++) {
            final SplittableRandom random = new SplittableRandom(seed);
            final FakeTarget target = emptyTarget(seed, spec);
            target.delayOrders(0.6);
            for (int holder = 0; holder < 4; holder++) {
                final TargetController controller = controller(target, spec, 5 + holder);
                for (int i = 0; i < 10; i++) {
                    ensure(controller, random.nextBoolean() ? MODEL : OTHER_MODEL, i, 0, 1_000);
                    run(target, controller, 1 + random.nextInt(40));
                }
            }
            target.delayOrders(0);
            run(target, controller(target, spec, 9), 600);
            assertEquals(0, target.overflows(), "seed " + seed);
            assertEquals(1, target.models().size(), "seed " + seed);
        }
    }

    private long residentResults() {
        return results.stream().filter(ResidencyResult::resident).count();
    }

    private void ensure(final TargetController controller, final int number, final long version) {
        ensure(controller, MODEL, number, version, LONG_WAIT_MILLIS);
    }

    private void ensure(
            final TargetController controller,
            final BaseModel model,
            final int number,
            final long version,
            final long waitMillis) {
        controller
                .ensure(
                        new AdapterKey(model, new AdapterId("a" + number)),
                        version,
                        false,
                        Duration.ofMillis(waitMillis))
                .subscribe(result -> results.add(result));
    }

    private static void run(final FakeTarget target, final TargetController controller, final int steps) {
        for (int i = 0; i < steps; i++) {
            controller.step();
            target.advance(STEP);
        }
    }

    private static ModelSpec model(final BaseModel model, final double megabytes, final double adapterMegabytes) {
        return new ModelSpec(model, MemorySize.needed(megabytes), MemorySize.needed(adapterMegabytes), 1_000);
    }

    private static EngineSpec spec(final double megabytes, final double adapterMegabytes) {
        return spec(megabytes, List.of(model(MODEL, MODEL_MEGABYTES, adapterMegabytes)));
    }

    private static EngineSpec spec(final double megabytes, final List<ModelSpec> models) {
        return new EngineSpec(64, 100_000, ADAPTER_SLOTS, MemorySize.available(megabytes), 4, models);
    }

    private FakeTarget emptyTarget(final long seed, final EngineSpec spec) {
        final FakeTarget target = target(seed, spec);
        target.restartEmpty();
        return target;
    }

    private FakeTarget target(final long seed, final EngineSpec spec) {
        final FakeTarget target = new FakeTarget(clock, seed, ADAPTER_SLOTS, MODEL);
        target.setSpec(spec);
        return target;
    }

    private TargetController controller(final FakeTarget target, final EngineSpec spec, final long fence) {
        return controller(target, () -> Optional.of(spec), fence);
    }

    private TargetController controller(
            final FakeTarget target, final Supplier<Optional<EngineSpec>> spec, final long fence) {
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
        return new TargetController(
                announcement,
                new PermanentClaim(fence),
                spec,
                target,
                inFlight,
                residency,
                SchedulerTimerService.ofVirtual(clock),
                DecisionLog.NONE);
    }
}
