package org.balsambank.core.target;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.catalogue.TrafficClass;
import org.balsambank.core.invariant.InvariantMonitor;
import org.balsambank.core.time.SchedulerTimerService;
import org.balsambank.core.time.TimerService;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that the load limits hold in every time window. */
class LocalLoadSlotsTest {
    private static final long SEED = 4_711;
    private static final int REQUESTS = 2_000;
    private static final int PER_SECOND = 4;
    private static final int IN_FLIGHT = 8;

    private final TestScheduler scheduler = new TestScheduler();
    private final TimerService timers = SchedulerTimerService.ofVirtual(scheduler);
    private final InvariantMonitor invariants = new InvariantMonitor(new SimpleMeterRegistry());
    private final LocalLoadSlots slots = new LocalLoadSlots(timers, invariants);
    private final List<Long> starts = new ArrayList<>();
    private int inFlight;
    private int maxInFlight;

    @Test
    void everyWindowStaysWithinTheLimitsAndTheLimitIsReached() {
        final Random random = new Random(SEED);
        for (int i = 0; i < REQUESTS; i++) {
            final TrafficClass trafficClass = TrafficClass.values()[random.nextInt(3)];
            final Duration load = Duration.ofMillis(100 + random.nextInt(random.nextInt(3) == 0 ? 16_000 : 300));
            slots.acquire(trafficClass).subscribe(slot -> hold(slot, load));
            scheduler.advanceTimeBy(random.nextInt(400), TimeUnit.MILLISECONDS);
        }
        scheduler.advanceTimeBy(1, TimeUnit.HOURS);
        assertEquals(REQUESTS, starts.size());
        assertEquals(0, rateViolations());
        assertEquals(IN_FLIGHT, maxInFlight);
        assertEquals(List.of(), invariants.violations());
    }

    @Test
    void fullRateIsUsedWhileRequestsAreQueued() {
        for (int i = 0; i < 100; i++) {
            slots.acquire(TrafficClass.NORMAL).subscribe(slot -> hold(slot, Duration.ofMillis(250)));
        }
        scheduler.advanceTimeBy(9_900, TimeUnit.MILLISECONDS);
        assertEquals(40, starts.size());
    }

    @Test
    void urgentIsServedFirstAndBulkIsNotStarved() {
        final List<TrafficClass> order = new ArrayList<>();
        slots.pause(Duration.ofSeconds(1));
        for (final TrafficClass trafficClass :
                List.of(TrafficClass.BULK, TrafficClass.BULK, TrafficClass.URGENT, TrafficClass.URGENT)) {
            for (int i = 0; i < 4; i++) {
                slots.acquire(trafficClass).subscribe(slot -> {
                    order.add(trafficClass);
                    slot.release();
                });
            }
        }
        scheduler.advanceTimeBy(10, TimeUnit.SECONDS);
        assertEquals(TrafficClass.URGENT, order.get(0));
        assertTrue(order.indexOf(TrafficClass.BULK) < 5);
        assertTrue(order.lastIndexOf(TrafficClass.URGENT) < 11);
    }

    private void hold(final LoadSlot slot, final Duration duration) {
        starts.add(timers.nanoTime());
        inFlight++;
        maxInFlight = Math.max(maxInFlight, inFlight);
        timers.after(duration).subscribe(() -> {
            inFlight--;
            slot.release();
        });
    }

    /** Counts the starts that had four or more others in the preceding second. */
    private long rateViolations() {
        long violations = 0;
        for (int i = PER_SECOND; i < starts.size(); i++) {
            if (starts.get(i) - starts.get(i - PER_SECOND) < TimeUnit.SECONDS.toNanos(1)) {
                violations++;
            }
        }
        return violations;
    }
}
