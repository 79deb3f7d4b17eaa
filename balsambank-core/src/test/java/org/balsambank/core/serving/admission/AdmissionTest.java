package org.balsambank.core.serving.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.catalogue.RateUnit;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.serving.plan.TeamSpec;
import org.balsambank.core.time.SchedulerTimerService;
import org.balsambank.core.time.TimerService;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the limits that the VMs share, in virtual time. Confined to one thread. */
final class AdmissionTest {
    private static final int VMS = 7;
    private static final int WINDOW_SECONDS = 8;
    private static final double RATE = 10_000;
    private static final RateSlack SLACK = new RateSlack(0.1, 17_000);

    private final TestScheduler clock = new TestScheduler();
    private final Map<TeamRateLimiter, Map<TeamId, Long>> reported = new IdentityHashMap<>();
    private final TimerService timer = SchedulerTimerService.ofVirtual(clock);

    @Test
    void overloadingTeamStaysWithinTheToleranceInEachWindow() {
        final List<TeamRateLimiter> vms = new ArrayList<>();
        for (int i = 0; i < VMS; i++) {
            vms.add(new TeamRateLimiter(timer, fleetView(VMS, VMS), SLACK));
        }
        final SplittableRandom random = new SplittableRandom(1);
        final List<Double> bySecond = new ArrayList<>();
        for (int second = 0; second < 40; second++) {
            double admitted = 0;
            for (int tick = 0; tick < 100; tick++) {
                final double units = 200 + random.nextInt(4_000);
                final TeamRateLimiter vm = vms.get(random.nextInt(VMS));
                admitted += vm.admit(team(RATE), units).isEmpty() ? units : 0;
                clock.advanceTimeBy(10, TimeUnit.MILLISECONDS);
                if (tick % 20 == 0) {
                    report(vms);
                }
            }
            bySecond.add(admitted);
        }
        for (int from = 0; from + WINDOW_SECONDS <= bySecond.size(); from++) {
            final double window = bySecond.subList(from, from + WINDOW_SECONDS).stream()
                    .mapToDouble(each -> each)
                    .sum();
            assertTrue(window <= (RATE * WINDOW_SECONDS + RATE) * 1.1 + 17_000, "units " + window);
        }
        final double all = bySecond.stream().mapToDouble(each -> each).sum();
        assertTrue(all >= RATE * bySecond.size(), "units " + all);
    }

    @Test
    void vmWithoutReportsFromOthersUsesOnlyItsShare() {
        final TeamRateLimiter limiter = new TeamRateLimiter(timer, fleetView(VMS, 1), new RateSlack(0, 0));
        double admitted = 0;
        for (int tick = 0; tick < 2_000; tick++) {
            admitted += limiter.admit(team(RATE), 500).isEmpty() ? 500 : 0;
            clock.advanceTimeBy(10, TimeUnit.MILLISECONDS);
        }
        final double share = RATE / VMS * 20;
        assertTrue(admitted <= share + RATE / VMS + 500, "units " + admitted);
        assertTrue(admitted >= share * 0.95, "units " + admitted);
    }

    @Test
    void lowerLimitAppliesImmediatelyAndReturnedUnitsAreAvailable() {
        final TeamRateLimiter limiter = new TeamRateLimiter(timer, fleetView(1, 1), new RateSlack(0, 0));
        clock.advanceTimeBy(2, TimeUnit.SECONDS);
        assertTrue(limiter.admit(team(RATE), 1).isEmpty());
        clock.advanceTimeBy(2, TimeUnit.SECONDS);
        assertTrue(limiter.admit(team(100), 150).isEmpty());
        assertFalse(limiter.admit(team(100), 10).isEmpty());
        limiter.refund(team(100), 150);
        assertTrue(limiter.admit(team(100), 10).isEmpty());
    }

    @Test
    void coldTargetsGetNoMoreThanTheirLimitFromAllVmsTogether() {
        final double perSecond = 8.2;
        final double bound = perSecond * 1.5 + 5;
        final List<ColdTargetLimiter> vms = new ArrayList<>();
        for (int i = 0; i < VMS; i++) {
            vms.add(new ColdTargetLimiter(timer, fleetView(VMS, VMS), 1.5, 5));
        }
        final TargetId target = new TargetId("t");
        final List<Long> requests = new ArrayList<>();
        for (int tick = 0; tick < 300; tick++) {
            for (final ColdTargetLimiter vm : vms) {
                if (vm.allows(target, perSecond)) {
                    vm.recordRequest(target);
                    requests.add(timer.nanoTime());
                }
            }
            clock.advanceTimeBy(10, TimeUnit.MILLISECONDS);
        }
        for (final long from : requests) {
            final long count = requests.stream()
                    .filter(at ->
                            at >= from && at - from <= Duration.ofSeconds(1).toNanos())
                    .count();
            assertTrue(count <= bound, "requests " + count);
        }
        assertEquals(VMS * 2 * 3, requests.size());
    }

    private void report(final List<TeamRateLimiter> vms) {
        for (final TeamRateLimiter sender : vms) {
            sender.totals().forEach((team, units) -> {
                final Long previous = reported.computeIfAbsent(sender, ignored -> new HashMap<>())
                        .put(team, units);
                vms.stream()
                        .filter(each -> each != sender)
                        .forEach(each -> each.admittedElsewhere(team, units - (previous == null ? 0 : previous)));
            });
        }
    }

    private static TeamSpec team(final double rate) {
        return new TeamSpec(
                new TeamId("team"),
                List.of("key"),
                Optional.empty(),
                Optional.of(new RateLimit(RateUnit.TOKENS, rate, rate)),
                200);
    }

    private static FleetView fleetView(final int vms, final int reachable) {
        return new FleetView() {
            @Override
            public int vms() {
                return vms;
            }

            @Override
            public int reachableVms() {
                return reachable;
            }

            @Override
            public int rank(final TargetId target) {
                return 0;
            }
        };
    }
}
