package org.balsambank.core.serving.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
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
import org.balsambank.core.id.VmId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.serving.plan.EngineSpec;
import org.balsambank.core.serving.plan.ModelSpec;
import org.balsambank.core.serving.target.InFlightRequests;
import org.balsambank.core.serving.target.TargetAnnouncement;
import org.balsambank.core.time.SchedulerTimerService;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests orders to one target, in virtual time. Confined to one thread. */
final class TargetControllerTest {
    private static final BaseModel MODEL = new BaseModel("m");
    private static final int PLACES = 6;
    private static final Duration STEP = Duration.ofMillis(25);

    private final TestScheduler clock = new TestScheduler();
    private final InFlightRequests flights = new InFlightRequests();
    private final ResidencyTable holdings = new ResidencyTable();
    private final List<ResidencyResult> holds = new ArrayList<>();

    @Test
    void loadsWhatIsWishedAndMakesPlaceForMore() {
        final FakeTarget runner = new FakeTarget(clock, 1, PLACES, MODEL);
        final TargetController keeper = keeper(runner);
        run(runner, keeper, 40);
        for (int i = 0; i < 2 * PLACES; i++) {
            wish(keeper, i, 0, 10_000);
            run(runner, keeper, 60);
        }
        assertEquals(2 * PLACES, holds.stream().filter(ResidencyResult::held).count());
        assertEquals(0, runner.overfull());
    }

    @Test
    void neverUnloadsWhatARequestUses() {
        final FakeTarget runner = new FakeTarget(clock, 1, PLACES, MODEL);
        final TargetController keeper = keeper(runner);
        run(runner, keeper, 40);
        for (int i = 0; i < PLACES; i++) {
            wish(keeper, i, 0, 10_000);
            flights.begin(new TargetId("t"), 10, Optional.of(adapter(i)));
            run(runner, keeper, 60);
        }
        wish(keeper, PLACES, 0, 2_000);
        run(runner, keeper, 200);
        assertEquals(PLACES, holds.stream().filter(ResidencyResult::held).count());
        assertEquals(PLACES, runner.held().size());
        assertEquals(1, holds.stream().filter(hold -> !hold.held()).count());
    }

    @Test
    void loadsANewerVersion() {
        final FakeTarget runner = new FakeTarget(clock, 1, PLACES, MODEL);
        final TargetController keeper = keeper(runner);
        run(runner, keeper, 40);
        wish(keeper, 1, 0, 5_000);
        run(runner, keeper, 60);
        wish(keeper, 1, 7, 5_000);
        run(runner, keeper, 60);
        assertEquals(7, holds.get(1).version());
    }

    @Test
    void ordersCarriedOutLateNeverOverfillTheTarget() {
        for (int seed = 0; seed < 150; seed++) {
            final SplittableRandom random = new SplittableRandom(seed);
            final FakeTarget runner = new FakeTarget(clock, seed, PLACES, MODEL);
            final TargetController keeper = keeper(runner);
            runner.late(0.2 + 0.4 * random.nextDouble());
            for (int i = 0; i < 60; i++) {
                wish(keeper, random.nextInt(25), random.nextInt(8) == 0 ? 1 + i / 20 : 0, 1_500);
                run(runner, keeper, 1 + random.nextInt(30));
            }
            assertEquals(0, runner.overfull(), "seed " + seed);
        }
        assertTrue(holds.stream().anyMatch(ResidencyResult::held));
    }

    @Test
    void refusedOrdersAreNotRepeatedInALoop() {
        final FakeTarget runner = new FakeTarget(clock, 3, PLACES, MODEL);
        final TargetController keeper = keeper(runner);
        run(runner, keeper, 40);
        runner.late(1);
        for (int i = 0; i < 20; i++) {
            wish(keeper, i, 0, 5_000);
        }
        final int before = runner.orders();
        run(runner, keeper, 200);
        assertTrue(runner.orders() - before <= 12, "orders in 5 s: " + (runner.orders() - before));
    }

    private void wish(final TargetController keeper, final int number, final long version, final long waitMillis) {
        keeper.ensure(adapter(number), version, false, Duration.ofMillis(waitMillis))
                .subscribe(hold -> holds.add(hold));
    }

    private static AdapterKey adapter(final int number) {
        return new AdapterKey(MODEL, new AdapterId("a" + number));
    }

    private static void run(final FakeTarget runner, final TargetController keeper, final int steps) {
        for (int i = 0; i < steps; i++) {
            keeper.step();
            runner.advance(STEP);
        }
    }

    private TargetController keeper(final FakeTarget runner) {
        final TargetAnnouncement entry = new TargetAnnouncement(
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
        final EngineSpec engine =
                new EngineSpec(64, 100_000, PLACES, 1_000, 4, List.of(new ModelSpec(MODEL, 900, 1_000)));
        return new TargetController(
                entry,
                new AlwaysRight(),
                () -> Optional.of(engine),
                runner,
                flights,
                holdings,
                SchedulerTimerService.ofVirtual(clock),
                DecisionLog.NONE);
    }

    /** A right that never ends. */
    private static final class AlwaysRight implements HeldClaim {
        private final HashSet<String> lost = new HashSet<>();

        @Override
        public boolean valid() {
            return lost.isEmpty();
        }

        @Override
        public long fence() {
            return 5;
        }

        @Override
        public VmId holder() {
            return new VmId("vm");
        }

        @Override
        public void lost() {
            lost.add("lost");
        }
    }
}
